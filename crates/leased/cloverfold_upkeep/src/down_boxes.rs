//! Boxes that count as down, and boxes that have left the installation.
//!
//! A box is up again if a reading of the list that started after the end of its upkeep shows it up with a target, and one of these holds:
//!
//! - An earlier reading showed the upkeep, and the target has another incarnation than before the call.
//! - The reading started so long after the end of the upkeep that even the list with the largest lag would still show it.
//!
//! The list lags, so it may still show a box as up that is just going down, and an incarnation that is new in the list may be older than
//! the upkeep.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::{BoxStatus, ListedBox};
use crate::calls::{BoxCalls, CallResult};
use crate::scheduler::{HOLD_INTERVAL, SchedulerAction, UpkeepScheduler, WaveBox};
use crate::state::{BoxPhase, Wave};
use crate::wave::{UpkeepCommand, WaveNumber};

/// A box whose upkeep has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BoxInUpkeep {
    /// When this scheduler first saw that the upkeep had begun.
    pub(crate) since: Timestamp,
    /// Whether a later reading of the list has shown the upkeep.
    pub(crate) is_upkeep_listed: bool,
}

impl BoxInUpkeep {
    /// Returns when the list must be read: in the middle of the upkeep until a reading has shown it, then after its end.
    pub(crate) fn reading_due_at(&self, maintenance: Duration) -> Timestamp {
        let span = if self.is_upkeep_listed {
            maintenance
        } else {
            maintenance / 2
        };
        self.since + span
    }
}

impl UpkeepScheduler {
    /// Calls the boxes whose call is in the log, checks whether boxes are up again, and detects boxes that have left.
    pub(crate) fn advance_boxes(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        now: Timestamp,
        actions: &mut Vec<SchedulerAction>,
    ) {
        for name in &wave.order.boxes {
            let key = (number, name.clone());
            let phase = wave.phases.get(name).copied();
            if phase != Some(BoxPhase::Begun) {
                self.in_upkeep.remove(&key);
            }
            let is_over = matches!(phase, Some(BoxPhase::Back | BoxPhase::Gone));
            if !is_over && self.list.is_gone(name) {
                self.propose_gone(&key, now, actions);
                continue;
            }
            match phase {
                Some(BoxPhase::Called) => self.advance_call(&key, now, actions),
                Some(BoxPhase::Begun) => self.check_return(&key, now, actions),
                _ => {}
            }
        }
    }

    fn advance_call(&mut self, key: &WaveBox, now: Timestamp, actions: &mut Vec<SchedulerAction>) {
        let calls = self.calls.entry(key.clone());
        let calls = calls.or_insert_with(|| BoxCalls::inherited(now));
        let is_due = calls.is_due(now);
        actions.extend(
            calls
                .due_hold(HOLD_INTERVAL, now)
                .map(SchedulerAction::HoldTarget),
        );
        let (wave, name) = key.clone();
        match calls.result() {
            Some(CallResult::Begun) => {
                self.propose(key, UpkeepCommand::Begun { wave, name }, now, actions);
            }
            Some(CallResult::Refused) => {
                self.propose(key, UpkeepCommand::Refused { wave, name }, now, actions);
            }
            None if is_due && self.reserve_call(&name, now) => {
                if let Some(calls) = self.calls.get_mut(key) {
                    calls.record_start();
                }
                actions.push(SchedulerAction::Call(key.clone()));
            }
            None => {}
        }
    }

    fn check_return(&mut self, key: &WaveBox, now: Timestamp, actions: &mut Vec<SchedulerAction>) {
        let in_upkeep = self.in_upkeep.entry(key.clone()).or_insert(BoxInUpkeep {
            since: now,
            is_upkeep_listed: false,
        });
        let Some(listed) = self.list.boxes.get(&key.1) else {
            return;
        };
        // Check every reading that started after the upkeep had begun.
        in_upkeep.is_upkeep_listed |=
            listed.status == BoxStatus::Upkeep && self.list.started_at() >= Some(in_upkeep.since);
        let in_upkeep = *in_upkeep;
        if self.is_back(key, listed, in_upkeep) {
            let (wave, name) = key.clone();
            self.propose(key, UpkeepCommand::Back { wave, name }, now, actions);
        }
    }

    fn is_back(&self, key: &WaveBox, listed: &ListedBox, in_upkeep: BoxInUpkeep) -> bool {
        let ends_at = in_upkeep.since + self.timings.maintenance;
        let Some(read_at) = self.list.started_at().filter(|read_at| *read_at >= ends_at) else {
            return false;
        };
        let calls = self.calls.get(key);
        let before = calls.and_then(|calls| calls.target_before.as_ref());
        let is_new =
            in_upkeep.is_upkeep_listed && before.is_some() && listed.target.as_ref() != before;
        let is_beyond_lag = read_at >= ends_at + self.timings.list_lag;
        listed.status == BoxStatus::Up && listed.target.is_some() && (is_new || is_beyond_lag)
    }

    fn propose_gone(&mut self, key: &WaveBox, now: Timestamp, actions: &mut Vec<SchedulerAction>) {
        let (wave, name) = key.clone();
        self.propose(key, UpkeepCommand::Gone { wave, name }, now, actions);
    }
}
