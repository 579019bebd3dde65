//! How long a job may wait, and how long it is worked on.
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
/// How many times the objective, for [`ESTIMATE_MARGIN`] times the estimated work, a job is worked on.
const GIVE_UP_FACTOR: f64 = 3.0;
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
    /// The job is given up then.
    pub(crate) give_up: Timestamp,
}

impl JobDeadlines {
    /// Returns the deadlines of a job that is submitted `now`.
    pub(crate) fn new(request: &JobRequest, now: Timestamp) -> Self {
        let objective = request.estimate_objective();
        Self {
            queue: now + objective.mul_f64(QUEUE_WAIT_SHARE),
            standing_queue: now + objective.mul_f64(STANDING_WAIT_SHARE),
            give_up: now + longest_work(request),
        }
    }
}

/// Returns how long a job is worked on, counted from its submission.
fn longest_work(request: &JobRequest) -> Duration {
    let slow_work = request.estimate_work().mul_f64(ESTIMATE_MARGIN);
    let longest = request.objective.span(slow_work).mul_f64(GIVE_UP_FACTOR);
    match request.patience {
        Some(patience) => longest.min(patience.mul_f64(ANSWERED_SHARE)),
        None => longest,
    }
}
