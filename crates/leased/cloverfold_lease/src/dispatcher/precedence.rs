//! Order in which waiting jobs are served.
//!
//! The first criterion that differs decides:
//!
//! 1. Jobs whose grace period is not over ([`Job::is_past_grace`]) come first, since few callers can still use the answers of the others.
//! 2. Jobs that have started come before others, since their work is wasted if they end late.
//! 3. Jobs that can still be on time come before late resubmissions (`resubmissions`).
//! 4. Jobs of a queue within its share of the processors come before jobs of a queue above it ([`shares`]).
//! 5. Priority, 0 first.
//! 6. Order of submission.
//!
//! [`shares`]: super::shares
//! [`Job::is_past_grace`]: super::job::Job::is_past_grace

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::QueuePosition;

/// Rank of a waiting job in one pass over the queue; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    is_past_grace: bool,
    is_not_started: bool,
    is_late_resubmission: bool,
    is_above_share: bool,
    position: QueuePosition,
}

impl Dispatcher {
    /// Sorts waiting jobs into the order in which they are served.
    pub(super) fn sort_by_precedence(
        &self,
        waiting: Vec<QueuePosition>,
        now: Timestamp,
    ) -> Vec<QueuePosition> {
        let total = self.shares.total_allocated(now);
        let waiting = waiting.into_iter();
        let ranks = waiting.map(|position| self.rank(position, total, now));
        let mut order: Vec<Precedence> = ranks.collect();
        order.sort_unstable();
        order.into_iter().map(|rank| rank.position).collect()
    }

    /// Returns the rank of a job; `total` is the recent allocation of all queues.
    fn rank(&self, position: QueuePosition, total: f64, now: Timestamp) -> Precedence {
        let job = self.jobs.get(&position.job);
        Precedence {
            is_past_grace: job.is_some_and(|job| job.is_past_grace(now)),
            is_not_started: job.is_some_and(|job| !job.may_have_run()),
            is_late_resubmission: job.is_some_and(|job| job.is_late_resubmission),
            is_above_share: job
                .is_some_and(|job| self.shares.is_above_share(&job.request.queue, total, now)),
            position,
        }
    }
}
