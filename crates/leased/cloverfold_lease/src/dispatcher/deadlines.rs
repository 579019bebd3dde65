//! Deadlines of repeatable jobs.
//!
//! The grace period of a job ends some multiple of its latency objective after its submission. After that the job continues only while none
//! of its tasks waits for a target; as soon as one does, the job is given up. Runs in progress may still complete the job while its caller
//! waits. If the caller were told earlier that the job is given up, it would submit it again and all tasks would run again.
//!
//! The deadlines depend on the estimates of the caller, which are rough.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::request::JobRequest;

/// Share of the latency objective for which a job may wait for its first assignment.
///
/// Utilization fluctuates within tenths of a second, so most jobs that can wait that long are served and still end on time.
const QUEUE_TIMEOUT_SHARE: f64 = 0.25;
/// Like [`QUEUE_TIMEOUT_SHARE`], for jobs in a standing queue (`standing_queues`).
const STANDING_QUEUE_TIMEOUT_SHARE: f64 = 0.10;
/// The grace period is this multiple of the latency objective for [`ESTIMATE_MARGIN`] times the estimated work.
const GRACE_FACTOR: f64 = 3.0;
/// Factor by which the work may exceed its estimate.
const ESTIMATE_MARGIN: f64 = 2.0;
/// Share of the caller timeout after which a job is answered, so that the answer arrives before the caller disconnects.
const CALLER_TIMEOUT_SHARE: f64 = 0.9;

/// Times at which a job is refused or given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobDeadlines {
    /// The job is refused at this time unless a task was assigned.
    pub(crate) queue: Timestamp,
    /// Like `queue`, while the job is in a standing queue.
    pub(crate) standing_queue: Timestamp,
    /// After this time the job continues only while none of its tasks waits for a target.
    pub(crate) grace_end: Timestamp,
    /// The job is given up at this time.
    pub(crate) give_up: Timestamp,
}

impl JobDeadlines {
    /// Returns the deadlines of a job that is submitted at `now`.
    pub(crate) fn new(request: &JobRequest, now: Timestamp) -> Self {
        let objective = request.latency_objective();
        Self {
            queue: now + objective.mul_f64(QUEUE_TIMEOUT_SHARE),
            standing_queue: now + objective.mul_f64(STANDING_QUEUE_TIMEOUT_SHARE),
            grace_end: now + grace_period(request),
            give_up: now + give_up_delay(request),
        }
    }
}

/// Returns the time from submission after which a job is given up in any case.
fn give_up_delay(request: &JobRequest) -> Duration {
    match request.caller_timeout {
        Some(timeout) => timeout.mul_f64(CALLER_TIMEOUT_SHARE),
        None => grace_period(request),
    }
}

/// Returns the grace period of a job.
fn grace_period(request: &JobRequest) -> Duration {
    let work_with_margin = request.critical_path().mul_f64(ESTIMATE_MARGIN);
    let grace = request
        .objective
        .for_work(work_with_margin)
        .mul_f64(GRACE_FACTOR);
    match request.caller_timeout {
        Some(timeout) => grace.min(timeout.mul_f64(CALLER_TIMEOUT_SHARE)),
        None => grace,
    }
}
