//! Share of a target that less urgent work leaves free.
//!
//! The tasks of a job need capacity at about the same time. While targets are full, a job with many tasks would obtain it one task at a
//! time as runs end, in competition with everything else that waits. So tasks leave some processors of a target free while a queue that is
//! more urgent than their own is active. Urgent work then finds capacity at once.
//!
//! [`QueueShares`](super::shares::QueueShares) determines which queues are active.

use crate::resources::Resources;

/// Share of a target's processors that tasks leave free for more urgent queues.
const URGENT_HEADROOM_SHARE: f64 = 0.05;

/// Share of a target's processors that tasks leave free for jobs that can still be on time, if their own job is a late resubmission
/// (`resubmissions`) or its grace period is over (`deadlines`).
const ON_TIME_HEADROOM_SHARE: f64 = 0.25;

/// Capacity that a task leaves free on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Headroom {
    /// No capacity.
    None,
    /// Capacity for more urgent work.
    ForUrgent,
    /// Capacity for all work that can still be on time.
    ForOnTime,
}

impl Headroom {
    /// Returns the headroom as a share of a target's processors.
    fn share(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::ForUrgent => URGENT_HEADROOM_SHARE,
            Self::ForOnTime => ON_TIME_HEADROOM_SHARE,
        }
    }
}

/// Returns the part of a target's free capacity that a task may use so that the headroom remains free.
///
/// On an empty target that is all of it, so that a task nearly as large as the target can be placed.
pub(super) fn usable_capacity(
    free: &Resources,
    capacity: &Resources,
    headroom: Headroom,
) -> Resources {
    if free.cpu_milli >= capacity.cpu_milli {
        return *free;
    }
    let headroom = (capacity.cpu_milli as f64 * headroom.share()) as i64;
    Resources {
        cpu_milli: free.cpu_milli - headroom,
        ..*free
    }
}
