//! HTTP responses about jobs.
//!
//! Status codes are the same for every protocol; a [`JobProtocol`] writes the bodies.

use std::time::Duration;

use cloverfold_http::{Response, json_response, plain_response};
use cloverfold_lease::JobAnswer;
use http::{HeaderValue, StatusCode, header};

use crate::protocol::{JobProtocol, JobState};

/// Returns the response for the answer to a job.
pub(crate) fn answer_response(protocol: &dyn JobProtocol, answer: JobAnswer) -> Response {
    match answer {
        JobAnswer::Completed => job_state_response(protocol, JobState::Completed),
        JobAnswer::Failed => job_state_response(protocol, JobState::Failed),
        JobAnswer::Refused { cause, retry_after } => {
            refusal_response(&format!("not run: {}\n", cause.as_str()), retry_after)
        }
        JobAnswer::GivenUp => plain_response(StatusCode::GATEWAY_TIMEOUT, "given up\n"),
    }
}

/// Returns the response with the state of a job.
pub(crate) fn job_state_response(protocol: &dyn JobProtocol, state: JobState) -> Response {
    json_response(StatusCode::OK, protocol.write_state(state))
}

/// On what grounds a job is said not to exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoSuchJob {
    /// No job of this ID is open here, and it cannot be kept.
    NotKept,
    /// The group of the job has said that it is unknown, or that it cannot be cancelled any more.
    SaidByGroup,
}

impl NoSuchJob {
    /// Returns the name used in log lines.
    fn as_str(self) -> &'static str {
        match self {
            Self::NotKept => "NotKept",
            Self::SaidByGroup => "SaidByGroup",
        }
    }
}

/// Returns the response for a job that does not exist.
pub(crate) fn no_such_job_response(id: &str, grounds: NoSuchJob) -> Response {
    log::info!(job = id, grounds = grounds.as_str(); "no such job");
    plain_response(StatusCode::GONE, "no such job\n")
}

/// Returns the response for a refused request, with `Retry-After` in whole seconds, at least one.
pub(crate) fn refusal_response(text: &str, retry_after: Duration) -> Response {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = HeaderValue::from(retry_after.as_secs().max(1));
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}
