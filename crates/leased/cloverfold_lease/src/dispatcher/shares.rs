//! Decision: which queues are in use, and which are within their share of the processors.
//!
//! Every queue in use has a claim to an equal part of the processor time that is given out. What a queue does not need is left to the
//! others. In a shortage a queue that was given less than its part is served before one that was given more, whatever their priorities,
//! so that no queue can starve another; among queues on the same side of their part the priority decides.
//!
//! Owns what each queue was given of late ([`QueueShares`]). Relies on the dispatcher to record each submission, and each assignment
//! with its estimated duration.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// A queue is in use for so long after a submission, also if nothing of it was served.
const IN_USE_SPAN: Duration = Duration::from_secs(2);
/// After this time what a queue was given counts for 1 / e. Long against the jobs of a burst, short against the seconds for which a
/// mix of requests lasts.
const USE_MEMORY: Duration = Duration::from_secs(1);

/// A queue in use.
#[derive(Clone, Copy, Debug)]
struct QueueUse {
    /// 0 comes first.
    priority: u32,
    submitted_at: Timestamp,
    /// Processor time that it was given, in core-seconds, as of `given_at`.
    given: f64,
    given_at: Timestamp,
}

impl QueueUse {
    /// Returns what counts of the processor time that it was given, in core-seconds.
    fn given_of_late(&self, now: Timestamp) -> f64 {
        let age = now.saturating_duration_since(self.given_at);
        self.given * (-age.div_duration_f64(USE_MEMORY)).exp()
    }
}

/// The queues in use.
#[derive(Debug, Default)]
pub(super) struct QueueShares {
    in_use: HashMap<String, QueueUse>,
}

impl QueueShares {
    /// Records that a job was submitted to a queue of this priority, and forgets the queues that are no longer in use.
    pub(super) fn record_submission(&mut self, queue: &str, priority: u32, now: Timestamp) {
        self.in_use
            .retain(|_, used| now < used.submitted_at + IN_USE_SPAN);
        let before = self.in_use.get(queue).copied();
        let (given, given_at) = before.map_or((0.0, now), |used| (used.given, used.given_at));
        let used = QueueUse {
            priority,
            submitted_at: now,
            given,
            given_at,
        };
        self.in_use.insert(queue.into(), used);
    }

    /// Records processor time, in core-seconds, that a queue is given.
    pub(super) fn record_given(&mut self, queue: &str, core_seconds: f64, now: Timestamp) {
        // A queue whose last submission is long past is no longer in use, although tasks of it may still be placed again.
        if let Some(used) = self.in_use.get_mut(queue) {
            used.given = used.given_of_late(now) + core_seconds;
            used.given_at = now;
        }
    }

    /// Returns whether a queue was given more than an equal part of what all queues in use were given.
    pub(super) fn is_above_share(&self, queue: &str, now: Timestamp) -> bool {
        let Some(own) = self.in_use.get(queue) else {
            return false;
        };
        let all = self.in_use.values().map(|used| used.given_of_late(now));
        own.given_of_late(now) * self.in_use.len() as f64 > all.sum()
    }

    /// Returns whether a queue of a more urgent priority is in use.
    pub(super) fn has_more_urgent(&self, priority: u32) -> bool {
        self.in_use.values().any(|used| used.priority < priority)
    }
}
