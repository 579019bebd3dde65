//! The start fence, the queue and the HTTP client of one target.
//!
//! Coordinators send [`Assign`] and are told how each task ended; [`Release`] asks for a task that has not started.
//! The decisions are those of [`cloverfold_claims_core::Fence`]; this package carries them out at the target.
//!
//! Owns the fence of this guard and the connections to its target. Relies on `cloverfold_membership` for the load of
//! other guards, which a task may be passed on to.

mod execution;
mod messages;
mod metrics;
mod plugin;
mod target_client;
mod task_runner;

pub use messages::{Assign, AssignReply, AssignedTask, Release, ReleaseReply, TaskReport};
pub use plugin::ExecutePlugin;
pub use target_client::{TargetAnswer, TargetClient, TargetError, TargetUsage};
