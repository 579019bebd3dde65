//! Boxes that were chosen: their targets are held, and their calls announced once they are empty or were held for long enough.
//!
//! Decision: whether a chosen box has been emptied for long enough. Rule: it has no target, or its guard told after the hold that nothing
//! runs there; otherwise after [`SchedulerTimings::drain_time`], or, where its guard told that something runs, after up to [`LONGEST_EMPTY`] times
//! that as far as a quarter of what is left of the span allows. Inputs: what the guard told, the time. Reason: nothing should be cut that
//! can end in time.
//!
//! [`SchedulerTimings::drain_time`]: crate::SchedulerTimings::drain_time

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::calls::BoxCalls;
use crate::holder::{HOLD_INTERVAL, SchedulerAction, SchedulerInput, UpkeepScheduler, WaveBox};
use crate::state::{BoxPhase, UpkeepState, Wave};
use crate::wave::{UpkeepCommand, WaveNumber};

/// How often guards are asked what is free while a box waits. Chosen, not measured.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// How long after the first word a guard's answer stands for a held target for certain. Chosen, not measured: many times the way there and
/// back.
const SETTLED_AFTER: Duration = Duration::from_millis(200);
/// How many times the usual span a target may be held that is known to be at work. Chosen, not measured.
const LONGEST_EMPTY: u32 = 4;

/// A box that was chosen and is being emptied.
#[derive(Clone, Debug)]
pub(crate) struct Emptying {
    pub(crate) since: Timestamp,
    pub(crate) told_at: Option<Timestamp>,
    pub(crate) target: Option<String>,
}

impl Emptying {
    /// Returns whether the box was chosen just now.
    pub(crate) fn is_new(&self, now: Timestamp) -> bool {
        self.since == now && self.told_at.is_none()
    }
}

impl UpkeepScheduler {
    /// Holds the targets of the chosen boxes, and announces the calls of those that were held for long enough.
    pub(crate) fn empty_boxes(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        state: &UpkeepState,
        moment: &SchedulerInput,
        left: Duration,
        steps: &mut Vec<SchedulerAction>,
    ) {
        let now = moment.now;
        let chosen = self.emptying.keys().filter(|(wave, _)| *wave == number);
        for key in chosen.cloned().collect::<Vec<_>>() {
            let phase = wave.phases.get(&key.1);
            if state.is_down(&key.1) || !matches!(phase, None | Some(BoxPhase::Refused)) {
                self.emptying.remove(&key);
                continue;
            }
            self.hold_target(&key, now, steps);
            let emptying = &self.emptying[&key];
            if !is_emptied(emptying, self.timings.drain_time, left, moment) {
                continue;
            }
            let target = emptying.target.clone();
            let calls = self.calls.entry(key.clone());
            calls
                .or_insert_with(|| BoxCalls::first(now, target.clone()))
                .begin_again(target);
            let (wave, name) = key.clone();
            self.propose(&key, UpkeepCommand::Call { wave, name }, now, steps);
        }
    }

    /// Tells the guard of a chosen box's target to hold it, if that is due.
    fn hold_target(&mut self, key: &WaveBox, now: Timestamp, steps: &mut Vec<SchedulerAction>) {
        let Some(emptying) = self.emptying.get_mut(key) else {
            return;
        };
        let is_due = emptying
            .told_at
            .is_none_or(|told| now >= told + HOLD_INTERVAL);
        if let Some(target) = emptying.target.clone().filter(|_| is_due) {
            emptying.told_at = Some(now);
            steps.push(SchedulerAction::HoldTarget(target));
        }
    }

    /// Asks now and then what is free at the targets, while a box waits.
    pub(crate) fn ask_loads(
        &mut self,
        state: &UpkeepState,
        now: Timestamp,
        steps: &mut Vec<SchedulerAction>,
    ) {
        let mut open = state.open_waves();
        let is_choosing = open.any(|(_, wave)| wave.waiting().next().is_some());
        let is_due = self
            .asked_at
            .is_none_or(|asked| now >= asked + ASK_INTERVAL);
        if !is_choosing || !is_due || self.list.boxes.is_empty() {
            return;
        }
        self.asked_at = Some(now);
        let away = self.list_away(state);
        let asked = self.list.boxes.values();
        let asked = asked.filter(|listed| !away.contains(&listed.name));
        let targets = asked.filter_map(|listed| listed.target.clone());
        steps.extend(targets.map(SchedulerAction::QueryLoad));
    }
}

/// Returns whether a chosen box has been emptied for long enough.
fn is_emptied(
    emptying: &Emptying,
    drain_time: Duration,
    left: Duration,
    moment: &SchedulerInput,
) -> bool {
    let Some(target) = &emptying.target else {
        return true;
    };
    let load = moment.loads.get(target);
    let load = load.filter(|load| load.at >= emptying.since + SETTLED_AFTER);
    let longest = match load {
        Some(load) if load.is_empty => return true,
        Some(_) => drain_time.max((drain_time * LONGEST_EMPTY).min(left / 4)),
        None => drain_time,
    };
    moment.now >= emptying.since + longest
}
