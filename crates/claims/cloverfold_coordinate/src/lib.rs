//! Drives one job from its claim to its answer.
//!
//! A guard that gets a [`Submit`] for a key it holds has the key's group agree on a claim, gives the tasks to
//! the guards named there, and answers with the whole outcome. The decisions are those of
//! [`cloverfold_claims_core::JobProgress`]; [`Coordinator`] carries them out. Any member of the group may drive a
//! job, also beside another: the claim and the start fences keep each task to one start.

mod admitter;
mod assignment;
mod coordinator;
mod driver;
mod jobs;
mod messages;
mod plugin;

pub use coordinator::Coordinator;
pub use messages::{JobState, Query, QueryReply, Submit, SubmitReply, Verdict};
pub use plugin::CoordinatePlugin;
