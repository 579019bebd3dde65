//! Fair sharing of processor time between queues.
//!
//! Each active queue is entitled to an equal share of the allocated processor time. What a queue does not need is available to the others.
//! In a shortage, a queue below its share is served before one above it, regardless of their priorities, so that no queue starves another.
//! Among queues on the same side of their share, the priority decides.
//!
//! The dispatcher records each submission and each assignment, with its estimated duration.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// Time after a submission during which a queue is active, even if none of its jobs was served.
const ACTIVE_PERIOD: Duration = Duration::from_secs(2);
/// Time constant of the exponential decay of allocations: longer than a burst of jobs, shorter than changes of the request mix.
const USAGE_DECAY: Duration = Duration::from_secs(1);

/// Usage of an active queue.
#[derive(Clone, Copy, Debug)]
struct QueueUsage {
    /// 0 is the most urgent.
    priority: u32,
    submitted_at: Timestamp,
    /// Decayed processor time allocated to it, in core-seconds, as of `allocated_at`.
    allocated: f64,
    allocated_at: Timestamp,
}

impl QueueUsage {
    /// Returns the decayed processor time allocated to it, in core-seconds.
    fn recently_allocated(&self, now: Timestamp) -> f64 {
        let age = now.saturating_duration_since(self.allocated_at);
        self.allocated * (-age.div_duration_f64(USAGE_DECAY)).exp()
    }
}

/// Usage of all active queues.
#[derive(Debug, Default)]
pub(super) struct QueueShares {
    active: HashMap<String, QueueUsage>,
    /// The most urgent priority among them.
    most_urgent: Option<u32>,
}

impl QueueShares {
    /// Records a submission to a queue with this priority, and removes the queues that are no longer active.
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
        self.update_most_urgent();
    }

    /// Updates the priorities of the active queues that `priority_of` knows.
    pub(super) fn update_priorities(&mut self, priority_of: impl Fn(&str) -> Option<u32>) {
        for (queue, usage) in &mut self.active {
            usage.priority = priority_of(queue).unwrap_or(usage.priority);
        }
        self.update_most_urgent();
    }

    fn update_most_urgent(&mut self) {
        self.most_urgent = self.active.values().map(|usage| usage.priority).min();
    }

    /// Records an allocation of processor time, in core-seconds, to a queue.
    pub(super) fn record_allocation(&mut self, queue: &str, core_seconds: f64, now: Timestamp) {
        // A queue without recent submissions may be inactive although tasks of its jobs are still assigned.
        if let Some(usage) = self.active.get_mut(queue) {
            usage.allocated = usage.recently_allocated(now) + core_seconds;
            usage.allocated_at = now;
        }
    }

    /// Returns the processor time allocated to all active queues of late, in core-seconds.
    pub(super) fn total_allocated(&self, now: Timestamp) -> f64 {
        let active = self.active.values();
        active.map(|usage| usage.recently_allocated(now)).sum()
    }

    /// Returns whether a queue was allocated more than an equal share of `total` among the active queues.
    pub(super) fn is_above_share(&self, queue: &str, total: f64, now: Timestamp) -> bool {
        let own = self.active.get(queue);
        own.is_some_and(|own| own.recently_allocated(now) * self.active.len() as f64 > total)
    }

    /// Returns whether a queue with a more urgent priority is active.
    pub(super) fn has_more_urgent(&self, priority: u32) -> bool {
        self.most_urgent.is_some_and(|urgent| urgent < priority)
    }
}
