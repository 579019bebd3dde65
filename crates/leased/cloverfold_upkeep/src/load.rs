//! How busy targets are, and whether a wave must leave them room.
//!
//! Decision: whether a pool has room for one box less. Rule: what its other boxes have, those that are up, not away and in no evacuated
//! hall, holds what runs there now with a tenth to spare; where fewer than half of them have told a moment ago, there is room. Inputs: the
//! list, the boxes that are away, what their guards told. Reason: a box that goes at a peak takes work from callers; one that goes a
//! little later does not. The wave is held back only as long as it can still catch up ([`can_wait`]).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::{BoxStatus, ListedBox};
use crate::pace::plan_pace;
use crate::wave::{BoxName, WaveOrder};

/// The part of the processors of a pool that may be in use, in thousandths. Chosen, not measured.
const MOST_USED_PERMILLE: i64 = 900;
/// The part of its span that a wave keeps in reserve when it waits, for lost answers and holders that change. Chosen, not measured.
const SPARE_PART: u32 = 4;
/// After this what a guard told counts no more. Chosen, not measured: three times the interval of the questions.
const TOLD_FOR: Duration = Duration::from_secs(3);

/// What a guard told of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Thousandths of a core that it has.
    pub capacity_milli: i64,
    /// Of these, what is free after all that runs and waits there.
    pub free_milli: i64,
    /// Whether nothing runs or waits there.
    pub is_empty: bool,
    /// When this was heard.
    pub at: Timestamp,
}

/// What is known of all targets, by incarnation.
pub type TargetLoads = BTreeMap<String, TargetLoad>;

/// Returns what was told a moment ago of a box's target.
pub(crate) fn find_load(
    listed: &ListedBox,
    loads: &TargetLoads,
    now: Timestamp,
) -> Option<TargetLoad> {
    let load = loads.get(listed.target.as_ref()?)?;
    (now <= load.at + TOLD_FOR).then_some(*load)
}

/// Returns whether the pool of a box can do without it.
pub(crate) fn has_room(
    next: &ListedBox,
    listed: &BTreeMap<BoxName, ListedBox>,
    away: &BTreeSet<BoxName>,
    evacuated: &BTreeSet<String>,
    loads: &TargetLoads,
    now: Timestamp,
) -> bool {
    if evacuated.contains(&next.hall) {
        return true;
    }
    let is_working = |listed: &&ListedBox| {
        listed.pool == next.pool
            && listed.status == BoxStatus::Up
            && !away.contains(&listed.name)
            && !evacuated.contains(&listed.hall)
    };
    let (mut boxes, mut known, mut used, mut left) = (0, 0, 0, 0);
    for listed in listed.values().filter(is_working) {
        boxes += 1;
        let Some(load) = find_load(listed, loads, now) else {
            continue;
        };
        known += 1;
        used += load.capacity_milli - load.free_milli;
        if listed.name != next.name {
            left += load.capacity_milli;
        }
    }
    2 * known < boxes || used * 1_000 <= left * MOST_USED_PERMILLE
}

/// Returns whether a wave that goes on two cycles later still begins in time, with a quarter of its span to spare.
pub(crate) fn can_wait(waiting: usize, order: &WaveOrder, cycle: Duration, left: Duration) -> bool {
    let later = left.saturating_sub(2 * cycle + order.span / SPARE_PART);
    let pace = plan_pace(waiting, order.most_down, cycle, later);
    pace.late_by.is_none()
}
