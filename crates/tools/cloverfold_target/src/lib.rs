//! A sample target that records every start in a journal.
//!
//! The target implements the HTTP protocol for targets. Each task runs for the time in its body, then succeeds or fails as the body says.
//! Tests and measurements count starts in the journal, which is independent of the counters of the system under test.
//!
//! ```
//! # let runtime = tokio::runtime::Runtime::new().unwrap();
//! # runtime.block_on(async {
//! let target = cloverfold_target::SampleTarget::start("127.0.0.1:0".parse().unwrap()).await.unwrap();
//! assert!(target.journal().list_starts().is_empty());
//! # });
//! ```

mod journal;
mod target;
mod task;

pub use journal::{Journal, StartRecord};
pub use target::SampleTarget;
pub use task::SampleTask;
