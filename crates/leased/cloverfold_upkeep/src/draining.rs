//! Selected boxes that are draining: their targets are held, and their calls are proposed to the log once they are drained.
//!
//! A box is drained if it has no target, or if its guard reported after the start of the hold that nothing runs there. Otherwise it counts
//! as drained after [`SchedulerTimings::drain_time`]. If its guard reported running work, it gets up to [`MAX_DRAIN_FACTOR`] times that,
//! but at most a quarter of the wave's remaining time, so that work that ends in time is not interrupted.
//!
//! [`SchedulerTimings::drain_time`]: crate::SchedulerTimings::drain_time

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::BoxCalls;
use crate::scheduler::{HOLD_INTERVAL, SchedulerAction, SchedulerInput, UpkeepScheduler, WaveBox};
use crate::state::{BoxPhase, UpkeepState, Wave};
use crate::wave::{UpkeepCommand, WaveNumber};

/// Interval between the load queries to guards while a box waits.
const LOAD_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the start of a hold from which load reports reflect it; many times a network round trip.
const HOLD_SETTLE_TIME: Duration = Duration::from_millis(200);
/// Maximum time for which a target with running work is held, as a multiple of the drain time.
const MAX_DRAIN_FACTOR: u32 = 4;

/// A selected box whose target is draining.
#[derive(Clone, Debug)]
pub(crate) struct Draining {
    pub(crate) since: Timestamp,
    pub(crate) hold_sent_at: Option<Timestamp>,
    pub(crate) target: Option<String>,
}

impl Draining {
    /// Returns whether the box was selected in this step.
    pub(crate) fn is_new(&self, now: Timestamp) -> bool {
        self.since == now && self.hold_sent_at.is_none()
    }
}

impl UpkeepScheduler {
    /// Holds the targets of the selected boxes, and proposes the calls for those that are drained.
    pub(crate) fn drain_boxes(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        state: &UpkeepState,
        input: &SchedulerInput,
        time_left: Duration,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let now = input.now;
        let selected = self.draining.keys().filter(|(wave, _)| *wave == number);
        for key in selected.cloned().collect::<Vec<_>>() {
            let phase = wave.phases.get(&key.1);
            if state.is_down(&key.1) || !matches!(phase, None | Some(BoxPhase::Refused)) {
                self.draining.remove(&key);
                continue;
            }
            self.hold_target(&key, now, actions);
            let draining = &self.draining[&key];
            if !is_drained(draining, self.timings.drain_time, time_left, input) {
                continue;
            }
            let target = draining.target.clone();
            let calls = self.calls.entry(key.clone());
            calls
                .or_insert_with(|| BoxCalls::initial(now, target.clone()))
                .prepare_retry(target);
            let (wave, name) = key.clone();
            self.propose(&key, UpkeepCommand::Call { wave, name }, now, actions);
        }
    }

    /// Sends a hold message for the target of a selected box, if one is due.
    fn hold_target(&mut self, key: &WaveBox, now: Timestamp, actions: &mut Vec<SchedulerAction>) {
        let Some(draining) = self.draining.get_mut(key) else {
            return;
        };
        let is_due = draining
            .hold_sent_at
            .is_none_or(|sent| now >= sent + HOLD_INTERVAL);
        if let Some(target) = draining.target.clone().filter(|_| is_due) {
            draining.hold_sent_at = Some(now);
            actions.push(SchedulerAction::HoldTarget(target));
        }
    }

    /// Queries the loads of the targets periodically while a box waits.
    pub(crate) fn query_loads(
        &mut self,
        state: &UpkeepState,
        now: Timestamp,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let mut open = state.open_waves();
        let is_selecting = open.any(|(_, wave)| wave.waiting().next().is_some());
        let is_due = self
            .loads_queried_at
            .is_none_or(|queried| now >= queried + LOAD_QUERY_INTERVAL);
        if !is_selecting || !is_due || self.list.boxes.is_empty() {
            return;
        }
        self.loads_queried_at = Some(now);
        let unavailable = self.unavailable_boxes(state);
        let queried = self.list.boxes.values();
        let queried = queried.filter(|listed| !unavailable.contains(&listed.name));
        let targets = queried.filter_map(|listed| listed.target.clone());
        actions.extend(targets.map(SchedulerAction::QueryLoad));
    }
}

/// Returns whether a selected box counts as drained.
fn is_drained(
    draining: &Draining,
    drain_time: Duration,
    time_left: Duration,
    input: &SchedulerInput,
) -> bool {
    let Some(target) = &draining.target else {
        return true;
    };
    let load = input.loads.get(target);
    let load = load.filter(|load| load.at >= draining.since + HOLD_SETTLE_TIME);
    let limit = match load {
        Some(load) if load.is_empty => return true,
        Some(_) => drain_time.max((drain_time * MAX_DRAIN_FACTOR).min(time_left / 4)),
        None => drain_time,
    };
    input.now >= draining.since + limit
}
