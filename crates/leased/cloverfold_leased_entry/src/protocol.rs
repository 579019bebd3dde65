//! How callers write what they ask.

use std::time::Duration;

use cloverfold_configuration::{ConfigurationFormat, Route};
use cloverfold_lease::JobRequest;
use http::{HeaderMap, Method};

/// What a caller asks of a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueueCall {
    /// Run the job in the body under this name.
    Submit(String),
    /// How does this job stand?
    Show(String),
    /// Stop this job.
    Cancel(String),
    /// How many jobs wait?
    Count,
}

/// A job that was read.
#[derive(Clone, Debug, PartialEq)]
pub enum JobForm {
    /// All of it may run again if its answer is lost.
    Repeatable(JobRequest),
    /// It asks for something that is not carried yet.
    Unsupported(&'static str),
}

/// A job that cannot be read; the text names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MalformedJob(pub String);

/// How a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobState {
    /// It is open.
    Running,
    /// All its tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
}

/// How callers' requests and answers are written.
pub trait JobProtocol: ConfigurationFormat {
    /// Tells what a request to a queue asks; `rest` is its path after the queue's prefix.
    fn classify(&self, method: &Method, rest: &str) -> Option<QueueCall>;

    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Names the field that cannot be read.
    fn read_job(&self, id: &str, route: &Route, body: &[u8]) -> Result<JobForm, MalformedJob>;

    /// Returns how long the caller waits, where it says so.
    fn read_patience(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Writes how a job stands.
    fn write_state(&self, state: JobState) -> Vec<u8>;

    /// Writes how many jobs wait.
    fn write_count(&self, waiting: usize) -> Vec<u8>;

    /// Says whether a request at the balancer's address asks for readiness.
    fn asks_readiness(&self, method: &Method, path: &str) -> bool;
}
