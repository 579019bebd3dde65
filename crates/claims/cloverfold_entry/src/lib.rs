//! The HTTP interface for callers.
//!
//! An entry checks a submission, finds the guards that hold its key and waits for the whole answer. It holds no
//! promise itself: when it dies, the same submission through another entry finds the same job. The
//! interface is described in `docs/API.md`.

mod answer;
mod api;
mod auth;
mod plugin;
mod routing;
mod submission;

pub use answer::{AnswerBody, ErrorBody};
pub use plugin::EntryPlugin;
pub use submission::{
    CheckedSubmission, Refusal, RequestHeaders, SubmissionLimits, check_submission,
};
