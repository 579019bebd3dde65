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
const QUEUE_TIMEOUT_SHARE: f64 = 0.25;
/// As [`QUEUE_TIMEOUT_SHARE`], for a queue that stands (`standing_queues`).
const STANDING_QUEUE_TIMEOUT_SHARE: f64 = 0.10;
/// How many times the objective, for [`ESTIMATE_MARGIN`] times the estimated work, is the grace of a job.
const GRACE_FACTOR: f64 = 3.0;
/// How many times its estimate the work may last without being late.
const ESTIMATE_MARGIN: f64 = 2.0;
/// Share of the time that a caller waits after which it gets its answer: a later one would find it gone. Introduced with
/// [`QUEUE_TIMEOUT_SHARE`] and measured together with it only.
const CALLER_TIMEOUT_SHARE: f64 = 0.9;

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
            queue: now + objective.mul_f64(QUEUE_TIMEOUT_SHARE),
            standing_queue: now + objective.mul_f64(STANDING_QUEUE_TIMEOUT_SHARE),
            grace_end: now + grace_period(request),
            give_up: now + give_up_delay(request),
        }
    }
}

/// Returns how long after its submission a job is given up whatever it does.
fn give_up_delay(request: &JobRequest) -> Duration {
    match request.caller_timeout {
        Some(timeout) => timeout.mul_f64(CALLER_TIMEOUT_SHARE),
        None => grace_period(request),
    }
}

/// Returns how long after its submission the grace of a job ends.
fn grace_period(request: &JobRequest) -> Duration {
    let work_with_margin = request.critical_path().mul_f64(ESTIMATE_MARGIN);
    let grace = request
        .objective
        .target_latency(work_with_margin)
        .mul_f64(GRACE_FACTOR);
    match request.caller_timeout {
        Some(timeout) => grace.min(timeout.mul_f64(CALLER_TIMEOUT_SHARE)),
        None => grace,
    }
}
