//! Decision: how long a job may wait, and how long it is worked on.
//!
//! The grace of a job ends some times its objective after its submission. From then on it goes on only while all its open tasks have a
//! place: as soon as one has to wait, the job is given up. What runs, or whose end is not known yet, may still be answered while the caller
//! waits; a caller that hears earlier that its job is given up sends it again, and all of it runs anew.
//!
//! Owns no state: [`JobDeadlines`] follow from a request and the time of its submission. Relies on the caller's estimates, which are
//! rough.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::request::JobRequest;

/// Share of the objective for which a job may wait for its first task to be offered to a target.
///
/// The processors in use swing between 70 % and all of them within tenths of a second, so a job that can wait that long and still
/// end in time is mostly served.
const QUEUE_WAIT_SHARE: f64 = 0.25;
/// As [`QUEUE_WAIT_SHARE`], for a queue that stands (`standing_queues`).
const STANDING_WAIT_SHARE: f64 = 0.10;
/// How many times the objective, for [`ESTIMATE_MARGIN`] times the estimated work, is the grace of a job.
const GRACE_FACTOR: f64 = 3.0;
/// How many times its estimate the work may last without being late.
const ESTIMATE_MARGIN: f64 = 2.0;
/// Share of the time that a caller waits after which it gets its answer: a later one would find it gone. Introduced with
/// [`QUEUE_WAIT_SHARE`] and measured together with it only.
const ANSWERED_SHARE: f64 = 0.9;

/// The points in time at which a job is refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobDeadlines {
    /// The job is refused then unless a task was offered to a target.
    pub(crate) queue: Timestamp,
    /// As `queue`, while the job's queue stands.
    pub(crate) standing_queue: Timestamp,
    /// After this the job goes on only while all its open tasks have a place.
    pub(crate) grace_end: Timestamp,
    /// The job is given up then.
    pub(crate) give_up: Timestamp,
}

impl JobDeadlines {
    /// Returns the deadlines of a job that is submitted `now`.
    pub(crate) fn new(request: &JobRequest, now: Timestamp) -> Self {
        let objective = request.target_latency();
        Self {
            queue: now + objective.mul_f64(QUEUE_WAIT_SHARE),
            standing_queue: now + objective.mul_f64(STANDING_WAIT_SHARE),
            grace_end: now + find_grace(request),
            give_up: now + longest_work(request),
        }
    }
}

/// Returns how long after its submission a job is given up whatever it does.
fn longest_work(request: &JobRequest) -> Duration {
    match request.caller_timeout {
        Some(timeout) => timeout.mul_f64(ANSWERED_SHARE),
        None => find_grace(request),
    }
}

/// Returns how long after its submission the grace of a job ends.
fn find_grace(request: &JobRequest) -> Duration {
    let slow_work = request.critical_path().mul_f64(ESTIMATE_MARGIN);
    let longest = request
        .objective
        .target_latency(slow_work)
        .mul_f64(GRACE_FACTOR);
    match request.caller_timeout {
        Some(timeout) => longest.min(timeout.mul_f64(ANSWERED_SHARE)),
        None => longest,
    }
}
