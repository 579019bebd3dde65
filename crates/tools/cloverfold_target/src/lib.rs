//! A sample target that journals every start.
//!
//! It speaks the protocol of `docs/TARGETS.md` and does what each task's body asks of it: run for a time, then
//! succeed or fail. Tests and measurements count starts in its journal, so that a task that started twice is seen
//! at the target and not in the system's own counts. Owns its journal and the tasks that were cancelled; relies on
//! no other package of ours.
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
