//! A sample target that journals every start.
//!
//! It speaks the protocol of `docs/TARGETS.md` and does what each task's body asks of it: sleep for a time,
//! fail, break the connection. Its journal is what tests and the load tool read starts from, so that "started
//! twice" is seen at the target and not in the system's own counts.
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
