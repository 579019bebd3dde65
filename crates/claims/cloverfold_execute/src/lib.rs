//! Execution of tasks at one target: the start fence, the task queue and the HTTP client.
//!
//! A coordinator sends [`Assign`] and receives a report for each task that ended; [`Release`] takes back a task that has
//! not started. [`cloverfold_claims_core::Fence`] decides what starts; this crate starts it at the target.

mod execution;
mod messages;
mod metrics;
mod plugin;
mod target_client;
mod task_runner;

pub use messages::{Assign, AssignReply, AssignedTask, Release, ReleaseReply, TaskReport};
pub use plugin::ExecutePlugin;
pub use target_client::{TargetAnswer, TargetClient, TargetError, TargetUsage};
