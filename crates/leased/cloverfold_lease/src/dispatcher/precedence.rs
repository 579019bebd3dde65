//! Decision: in which order waiting jobs are served.
//!
//! 1. A job whose grace is not over ([`Job::is_past_grace`]): few callers can still use the answer of another.
//! 2. A job that has begun: what it already used is lost if it ends late.
//! 3. A job that can still be in time, before one that came past its objective (`resubmissions`).
//! 4. A job whose queue is within its share of the processors, before one whose queue is above it ([`shares`]).
//! 5. Priority, 0 first.
//! 6. Arrival.
//!
//! Owns no state. Relies on [`QueueShares`].
//!
//! [`shares`]: super::shares
//! [`QueueShares`]: super::shares::QueueShares
//! [`Job::is_past_grace`]: super::job::Job::is_past_grace

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::QueuePosition;

/// Place of a waiting job in one pass over the queue; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    is_past_grace: bool,
    is_not_started: bool,
    is_late_resubmission: bool,
    is_above_share: bool,
    position: QueuePosition,
}

impl Dispatcher {
    /// Lists the jobs with waiting tasks in the order in which they are served now.
    pub(super) fn list_waiting(&self, now: Timestamp) -> Vec<QueuePosition> {
        let mut order: Vec<Precedence> = self
            .waiting
            .iter()
            .map(|position| self.rank(*position, now))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|rank| rank.position).collect()
    }

    fn rank(&self, position: QueuePosition, now: Timestamp) -> Precedence {
        let job = self.jobs.get(&position.job);
        Precedence {
            is_past_grace: job.is_some_and(|job| job.is_past_grace(now)),
            is_not_started: job.is_some_and(|job| !job.may_have_run()),
            is_late_resubmission: job.is_some_and(|job| job.is_late_resubmission),
            is_above_share: job
                .is_some_and(|job| self.shares.is_above_share(&job.request.queue, now)),
            position,
        }
    }
}
