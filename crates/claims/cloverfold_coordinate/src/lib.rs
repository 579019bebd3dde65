//! Coordination of jobs, from the submission to the outcome.
//!
//! A guard that receives a [`Submit`] admits the job when slots are free, runs consensus on its claim, assigns the tasks
//! to the guards in the claim, and answers with the outcome. The decisions are in
//! [`cloverfold_claims_core::Admission`] and [`cloverfold_claims_core::JobProgress`]; [`Coordinator`] executes them.
//! Several guards may drive one job concurrently: the claim and the start fences keep each task to one start.

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
