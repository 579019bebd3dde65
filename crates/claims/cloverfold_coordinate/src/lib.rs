//! Drives one job from its claim to its answer.
//!
//! A guard that gets a [`Submit`] admits the job when slots are free, has the key's group agree on a claim, assigns
//! the tasks to the guards named there, and answers with the whole outcome. The decisions are those of
//! [`cloverfold_claims_core::Admission`] and [`cloverfold_claims_core::JobProgress`]; [`Coordinator`] carries them
//! out. Any guard may drive a job, also beside another: the claim and the start fences keep each task to one start.
//!
//! Owns the queue of jobs that wait for slots, the jobs driven here and their answers. Relies on `cloverfold_claim`
//! for the agreement, on `cloverfold_membership` for the load of the cell, and on `cloverfold_execute` at each guard.

mod admitter;
mod assignment;
mod coordinator;
mod driver;
mod job_context;
mod job_plan;
mod jobs;
mod messages;
mod metrics;
mod plugin;

pub use coordinator::Coordinator;
pub use messages::{JobState, Query, QueryReply, Submit, SubmitReply, SubmitResult};
pub use plugin::CoordinatePlugin;
