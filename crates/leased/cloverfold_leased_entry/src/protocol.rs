//! Interface to the platform's wire format for jobs, which `platform/` implements.

use std::time::Duration;

use cloverfold_configuration::{ConfigurationFormat, Route};
use cloverfold_lease::JobRequest;
use http::{HeaderMap, Method};

/// A call to a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueCall {
    /// Submits the job in the body under this ID.
    Submit(String),
    /// Requests the state of the job with this ID.
    Show(String),
    /// Cancels the job with this ID.
    Cancel(String),
    /// Requests the number of open jobs of the queue that have not started.
    Count,
}

/// A parsed job.
#[derive(Clone, Debug, PartialEq)]
pub enum ParsedJob {
    /// A job whose tasks may run again if a response is lost.
    Repeatable(JobRequest),
    /// A durable job, which may run only once.
    Kept(JobRequest),
    /// A job that needs an unimplemented feature; the text names the feature.
    Unsupported(&'static str),
}

/// A job that cannot be parsed; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedJob(pub String);

/// The state of a job, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// No task is known to have started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has reached its maximum number of failures.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

/// Wire format of requests and responses.
pub trait JobProtocol: ConfigurationFormat {
    /// Returns the call of a request to a queue, `None` if there is no such call; `rest` is the path after the prefix of the queue.
    fn classify(&self, method: &Method, rest: &str) -> Option<QueueCall>;

    /// Parses a job.
    ///
    /// # Errors
    ///
    /// Returns [`MalformedJob`] with the field that cannot be parsed.
    fn parse_job(&self, id: &str, route: &Route, body: &[u8]) -> Result<ParsedJob, MalformedJob>;

    /// Returns whether a kept job can have this ID.
    fn can_be_kept(&self, id: &str) -> bool;

    /// Returns how long the caller waits for a response, if the request says so.
    fn read_caller_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Serializes the state of a job.
    fn write_state(&self, state: JobState) -> Vec<u8>;

    /// Serializes the number of open jobs of a queue that have not started.
    fn write_count(&self, waiting: usize) -> Vec<u8>;

    /// Returns whether a request is the readiness check of the load balancer.
    fn is_readiness_request(&self, method: &Method, path: &str) -> bool;
}
