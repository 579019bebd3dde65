//! Boxes that count as down, and boxes that have left.
//!
//! Decision: when a box is up again. Rule: a reading of the list that began after the end of its upkeep shows it up with a target, and
//! either an earlier reading showed the upkeep and the target is another incarnation than before the call, or the reading began so late
//! after the end that even the oldest list would show the upkeep. Inputs: when this holder saw that the upkeep has begun, how long it
//! lasts, the lag of the list, the targets. Reason: a list that lags shows a box up that is just going down; and an incarnation that is
//! new in the list may be older than the upkeep.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::{BoxStatus, ListedBox};
use crate::calls::{BoxCalls, Verdict};
use crate::holder::{HOLD_INTERVAL, SchedulerAction, UpkeepScheduler, WaveBox};
use crate::state::{BoxPhase, Wave};
use crate::wave::{UpkeepCommand, WaveNumber};

/// A box whose upkeep has begun.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AwayBox {
    /// When this holder saw first that it has begun.
    pub(crate) since: Timestamp,
    /// Whether a reading since has shown the upkeep.
    pub(crate) is_seen: bool,
}

impl AwayBox {
    /// Returns when the list is to be read for it: in the middle of its upkeep until that is seen, then after its end.
    pub(crate) fn reading_due_at(&self, maintenance: Duration) -> Timestamp {
        let span = if self.is_seen {
            maintenance
        } else {
            maintenance / 2
        };
        self.since + span
    }
}

impl UpkeepScheduler {
    /// Calls the boxes that were announced, watches for those that are away, and notes those that have left.
    pub(crate) fn drive_on(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        now: Timestamp,
        steps: &mut Vec<SchedulerAction>,
    ) {
        for name in &wave.order.boxes {
            let key = (number, name.clone());
            let phase = wave.phases.get(name).copied();
            if phase != Some(BoxPhase::Begun) {
                self.away.remove(&key);
            }
            let is_over = matches!(phase, Some(BoxPhase::Back | BoxPhase::Gone));
            if !is_over && self.list.is_gone(name) {
                self.propose_gone(&key, now, steps);
                continue;
            }
            match phase {
                Some(BoxPhase::Called) => self.drive_call(&key, now, steps),
                Some(BoxPhase::Begun) => self.watch_return(&key, now, steps),
                _ => {}
            }
        }
    }

    fn drive_call(&mut self, key: &WaveBox, now: Timestamp, steps: &mut Vec<SchedulerAction>) {
        let calls = self.calls.entry(key.clone());
        let calls = calls.or_insert_with(|| BoxCalls::taken_over(now));
        let is_due = calls.is_due(now);
        steps.extend(
            calls
                .take_hold(HOLD_INTERVAL, now)
                .map(SchedulerAction::HoldTarget),
        );
        let (wave, name) = key.clone();
        match calls.verdict() {
            Some(Verdict::Begun) => {
                self.propose(key, UpkeepCommand::Begun { wave, name }, now, steps);
            }
            Some(Verdict::Refused) => {
                self.propose(key, UpkeepCommand::Refused { wave, name }, now, steps);
            }
            None if is_due && self.take_call(&name, now) => {
                if let Some(calls) = self.calls.get_mut(key) {
                    calls.begin();
                }
                steps.push(SchedulerAction::Call(key.clone()));
            }
            None => {}
        }
    }

    fn watch_return(&mut self, key: &WaveBox, now: Timestamp, steps: &mut Vec<SchedulerAction>) {
        let away = self.away.entry(key.clone()).or_insert(AwayBox {
            since: now,
            is_seen: false,
        });
        let Some(listed) = self.list.boxes.get(&key.1) else {
            return;
        };
        // Every reading that is not older than the beginning counts, so that this runs for each of them.
        away.is_seen |=
            listed.status == BoxStatus::Upkeep && self.list.began_at() >= Some(away.since);
        let away = *away;
        if self.is_back(key, listed, away) {
            let (wave, name) = key.clone();
            self.propose(key, UpkeepCommand::Back { wave, name }, now, steps);
        }
    }

    fn is_back(&self, key: &WaveBox, listed: &ListedBox, away: AwayBox) -> bool {
        let ends_at = away.since + self.timings.maintenance;
        let Some(read_at) = self.list.began_at().filter(|read_at| *read_at >= ends_at) else {
            return false;
        };
        let calls = self.calls.get(key);
        let before = calls.and_then(|calls| calls.target_before.as_ref());
        let is_new = away.is_seen && before.is_some() && listed.target.as_ref() != before;
        let is_certain = read_at >= ends_at + self.timings.list_lag;
        listed.status == BoxStatus::Up && listed.target.is_some() && (is_new || is_certain)
    }

    fn propose_gone(&mut self, key: &WaveBox, now: Timestamp, steps: &mut Vec<SchedulerAction>) {
        let (wave, name) = key.clone();
        self.propose(key, UpkeepCommand::Gone { wave, name }, now, steps);
    }
}
