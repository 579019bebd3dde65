//! Loads of targets, and whether a pool can spare a box.
//!
//! A pool can spare a box if the remaining boxes of the pool (up, not draining or down, and in no evacuated hall) have capacity for the
//! current load with a tenth to spare. If fewer than half of the boxes have reported recently, the pool counts as able to spare the box.
//!
//! A box that goes down at peak load takes capacity from callers. A wave waits for a lower load only as long as it can still finish in
//! time ([`can_wait`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::{BoxStatus, ListedBox};
use crate::pace::plan_pace;
use crate::wave::{BoxName, WaveOrder};

/// Maximum share of a pool's capacity that may be in use without the box, in thousandths.
const MAX_USED_PERMILLE: i64 = 900;
/// A waiting wave keeps this fraction (1/n) of its span in reserve for lost answers and changes of the scheduler.
const SLACK_DIVISOR: u32 = 4;
/// Maximum age of a load report; three times the interval of the load queries.
const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// Load of a target as reported by its guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Capacity in thousandths of a core.
    pub capacity_milli: i64,
    /// Capacity that is not taken by running or waiting runs, in thousandths of a core.
    pub free_milli: i64,
    /// Whether the target has no running and no waiting runs.
    pub is_empty: bool,
    /// When the report was received.
    pub at: Timestamp,
}

/// Reported loads of all targets, by incarnation.
pub type TargetLoads = BTreeMap<String, TargetLoad>;

/// Returns the load of a box's target if it was reported recently.
pub(crate) fn recent_load(
    listed: &ListedBox,
    loads: &TargetLoads,
    now: Timestamp,
) -> Option<TargetLoad> {
    let load = loads.get(listed.target.as_ref()?)?;
    (now <= load.at + MAX_LOAD_AGE).then_some(*load)
}

/// Returns whether the pool of a box can spare it.
pub(crate) fn has_spare_capacity(
    next: &ListedBox,
    listed: &BTreeMap<BoxName, ListedBox>,
    unavailable: &BTreeSet<BoxName>,
    evacuated: &BTreeSet<String>,
    loads: &TargetLoads,
    now: Timestamp,
) -> bool {
    if evacuated.contains(&next.hall) {
        return true;
    }
    let is_available = |listed: &&ListedBox| {
        listed.pool == next.pool
            && listed.status == BoxStatus::Up
            && !unavailable.contains(&listed.name)
            && !evacuated.contains(&listed.hall)
    };
    let (mut boxes, mut reported, mut used, mut remaining) = (0, 0, 0, 0);
    for listed in listed.values().filter(is_available) {
        boxes += 1;
        let Some(load) = recent_load(listed, loads, now) else {
            continue;
        };
        reported += 1;
        used += load.capacity_milli - load.free_milli;
        if listed.name != next.name {
            remaining += load.capacity_milli;
        }
    }
    2 * reported < boxes || used * 1_000 <= remaining * MAX_USED_PERMILLE
}

/// Returns whether all boxes can still begin in time if the wave waits for two cycles, with a quarter of its span to spare.
pub(crate) fn can_wait(
    waiting: usize,
    order: &WaveOrder,
    cycle: Duration,
    time_left: Duration,
) -> bool {
    let time_left_after_wait = time_left.saturating_sub(2 * cycle + order.span / SLACK_DIVISOR);
    let pace = plan_pace(waiting, order.most_down, cycle, time_left_after_wait);
    pace.late_by.is_none()
}
