//! The HTTP API for callers.
//!
//! An entry validates a submission, sends it to a guard that may coordinate it, and waits for the outcome. It keeps no
//! state of jobs: after a failure, the same submission through another entry joins the same job.

mod answer;
mod api;
mod auth;
mod metrics;
mod plugin;
mod routing;
mod submission;
mod submission_memory;

pub use answer::{AnswerBody, ErrorBody};
pub use plugin::EntryPlugin;
pub use submission::{
    CheckedSubmission, Refusal, RequestHeaders, SubmissionLimits, check_submission,
};
