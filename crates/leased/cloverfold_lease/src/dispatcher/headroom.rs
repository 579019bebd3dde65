//! Decision: what part of a target is kept free for urgent work.
//!
//! The tasks of a job all need a place at about the same time. While targets are full, a job of many tasks finds them one by one as runs
//! end, and each that ends is taken at once by whatever waits or arrives. So a task leaves some of a target's processors free
//! while a queue that is more urgent than its own is in use; urgent work then finds places at once, and the rest waits for the next ends.
//!
//! Owns no state. Relies on [`QueueShares`](super::shares::QueueShares) for which queues are in use.

use crate::resources::Resources;

/// Share of a target's processors that less urgent work leaves free.
const URGENT_HEADROOM_SHARE: f64 = 0.05;

/// Share of a target's processors that jobs leave free that came past their objective (`resubmissions`) or whose grace is over
/// (`deadlines`): what is left for jobs that can be in time while as many come again.
const ON_TIME_HEADROOM_SHARE: f64 = 0.25;

/// What a task leaves free at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Headroom {
    /// Nothing.
    None,
    /// Room for more urgent work.
    ForUrgent,
    /// Room for all work that can be in time.
    ForOnTime,
}

impl Headroom {
    /// Returns the share of a target's processors.
    fn share(self) -> f64 {
        match self {
            Self::None => 0.0,
            Self::ForUrgent => URGENT_HEADROOM_SHARE,
            Self::ForOnTime => ON_TIME_HEADROOM_SHARE,
        }
    }
}

/// Returns what must be free at a target for a task to be placed there, so that the headroom stays free with it.
///
/// A task that is nearly as large as the whole target needs no more than all of it.
pub(super) fn demand_with_headroom(
    demand: &Resources,
    capacity: &Resources,
    headroom: Headroom,
) -> Resources {
    let headroom = (capacity.cpu_milli as f64 * headroom.share()) as i64;
    let limit = capacity.cpu_milli.max(demand.cpu_milli);
    Resources {
        cpu_milli: (demand.cpu_milli + headroom).min(limit),
        ..*demand
    }
}
