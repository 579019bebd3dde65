//! The HTTP interface for callers.
//!
//! An entry checks a submission, finds the guards that hold its key and waits for the whole answer. It keeps no state of
//! jobs: when it dies, the same submission through another entry finds the same job. The interface is described in
//! `docs/API.md`.
//!
//! Owns only the number of requests in flight. Relies on `cloverfold_membership` for the guards that accept work, and on
//! `cloverfold_coordinate` at the guards for everything else.

mod answer;
mod api;
mod auth;
mod metrics;
mod plugin;
mod routing;
mod submission;

pub use answer::{AnswerBody, ErrorBody};
pub use plugin::EntryPlugin;
pub use submission::{
    CheckedSubmission, Refusal, RequestHeaders, SubmissionLimits, check_submission,
};
