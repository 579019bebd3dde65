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
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);
/// After this time what a queue was given counts for 1 / e. Long against the jobs of a burst, short against the seconds for which a
/// mix of requests lasts.
const USAGE_DECAY: Duration = Duration::from_secs(1);

/// A queue in use.
#[derive(Clone, Copy, Debug)]
struct QueueUsage {
    /// 0 comes first.
    priority: u32,
    submitted_at: Timestamp,
    /// Processor time that it was given, in core-seconds, as of `given_at`.
    allocated: f64,
    allocated_at: Timestamp,
}

impl QueueUsage {
    /// Returns what counts of the processor time that it was given, in core-seconds.
    fn recently_allocated(&self, now: Timestamp) -> f64 {
        let age = now.saturating_duration_since(self.allocated_at);
        self.allocated * (-age.div_duration_f64(USAGE_DECAY)).exp()
    }
}

/// The queues in use.
#[derive(Debug, Default)]
pub(super) struct QueueShares {
    active: HashMap<String, QueueUsage>,
}

impl QueueShares {
    /// Records that a job was submitted to a queue of this priority, and forgets the queues that are no longer in use.
    pub(super) fn record_submission(&mut self, queue: &str, priority: u32, now: Timestamp) {
        self.active
            .retain(|_, usage| now < usage.submitted_at + ACTIVE_PERIOD);
        let previous = self.active.get(queue).copied();
        let (allocated, allocated_at) =
            previous.map_or((0.0, now), |usage| (usage.allocated, usage.allocated_at));
        let usage = QueueUsage {
            priority,
            submitted_at: now,
            allocated,
            allocated_at,
        };
        self.active.insert(queue.into(), usage);
    }

    /// Records processor time, in core-seconds, that a queue is given.
    pub(super) fn record_allocation(&mut self, queue: &str, core_seconds: f64, now: Timestamp) {
        // A queue whose last submission is long past is no longer in use, although tasks of it may still be placed again.
        if let Some(usage) = self.active.get_mut(queue) {
            usage.allocated = usage.recently_allocated(now) + core_seconds;
            usage.allocated_at = now;
        }
    }

    /// Returns whether a queue was given more than an equal part of what all queues in use were given.
    pub(super) fn is_above_share(&self, queue: &str, now: Timestamp) -> bool {
        let Some(own) = self.active.get(queue) else {
            return false;
        };
        let all = self
            .active
            .values()
            .map(|usage| usage.recently_allocated(now));
        own.recently_allocated(now) * self.active.len() as f64 > all.sum()
    }

    /// Returns whether a queue of a more urgent priority is in use.
    pub(super) fn has_more_urgent(&self, priority: u32) -> bool {
        self.active.values().any(|usage| usage.priority < priority)
    }
}
