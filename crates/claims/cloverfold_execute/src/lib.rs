//! The start fence, the queue and the HTTP client of one target.
//!
//! Coordinators send [`Assign`] and hear how each task ended; [`Release`] takes back what has not started.
//! The decisions are those of [`cloverfold_claims_core::Fence`]; this crate carries them out at the target.

mod execution;
mod messages;
mod plugin;
mod runner;
mod target_client;

pub use messages::{Assign, AssignReply, AssignedTask, Release, ReleaseReply, TaskReport};
pub use plugin::ExecutePlugin;
pub use target_client::{TargetAnswer, TargetClient, TargetError, TargetUsage};
