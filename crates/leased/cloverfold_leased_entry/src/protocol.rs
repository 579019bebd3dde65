//! How callers write requests and read answers.
//!
//! The boundary to the platform's forms: `platform/` implements [`JobProtocol`], and nothing else here knows them. Owns nothing.

use std::time::Duration;

use cloverfold_configuration::{ConfigurationFormat, Route};
use cloverfold_lease::JobRequest;
use http::{HeaderMap, Method};

/// A call to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueCall {
    /// Submits the job in the body under this id.
    Submit(String),
    /// Asks for the state of the job with this id.
    Show(String),
    /// Cancels the job with this id.
    Cancel(String),
    /// Asks how many jobs of the queue are open and have not started.
    Count,
}

/// A job that could be read.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedJob {
    /// A job whose tasks may all run again if an answer is lost.
    Repeatable(JobRequest),
    /// A job that must be kept, and may run only once.
    Kept(JobRequest),
    /// A job that needs what is not implemented; the text names it.
    Unsupported(&'static str),
}

/// A job that cannot be read; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedJob(pub String);

/// The state of a job, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task has begun.
    Queued,
    /// It has no answer yet, or a task has begun.
    Running,
    /// All its tasks have succeeded.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

/// How callers' requests and answers are written.
pub trait JobProtocol: ConfigurationFormat {
    /// Returns the call that a request to a queue makes, `None` if it makes none; `rest` is its path after the queue's prefix.
    fn classify(&self, method: &Method, rest: &str) -> Option<QueueCall>;

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedJob`] with the field that cannot be read.
    fn parse_job(&self, id: &str, route: &Route, body: &[u8]) -> Result<ParsedJob, MalformedJob>;

    /// Returns whether a job of this name can be kept.
    fn can_be_kept(&self, id: &str) -> bool;

    /// Returns how long the caller waits for the answer, if its request names a bound.
    fn read_caller_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Writes the state of a job.
    fn write_state(&self, state: JobState) -> Vec<u8>;

    /// Writes how many jobs of a queue are open and have not started.
    fn write_count(&self, waiting: usize) -> Vec<u8>;

    /// Returns whether a request at the balancer's address asks for readiness.
    fn is_readiness_request(&self, method: &Method, path: &str) -> bool;
}
