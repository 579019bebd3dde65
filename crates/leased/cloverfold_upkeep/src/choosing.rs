//! How many boxes of a wave go down now, and which: the holder's rules put together.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::{BoxStatus, ListedBox};
use crate::choice::choose_next_box;
use crate::emptying::Emptying;
use crate::holder::{SchedulerAction, SchedulerInput, UpkeepScheduler, WaveBox};
use crate::load::{can_wait, find_load, has_room};
use crate::outlook::{WaitReason, WaveStatus};
use crate::pace::plan_pace;
use crate::state::{UpkeepState, Wave};
use crate::wave::WaveNumber;

impl UpkeepScheduler {
    /// Goes on with the boxes that are being emptied, and chooses further ones as the wave's pace allows.
    pub(crate) fn begin_boxes(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        state: &UpkeepState,
        moment: &SchedulerInput,
        steps: &mut Vec<SchedulerAction>,
    ) {
        let left = self.find_time_left(number, wave, moment);
        self.empty_boxes(number, wave, state, moment, left, steps);
        let waiting = wave.waiting().count();
        let pace = plan_pace(waiting, wave.order.most_down, self.timings.cycle(), left);
        let mut outlook = WaveStatus::new(pace, waiting);
        if waiting > 0 {
            let can_wait = can_wait(waiting, &wave.order, self.timings.cycle(), left);
            outlook.waits = self.choose_boxes(number, wave, state, moment, pace.at_once, can_wait);
        }
        let chosen = self.emptying.iter();
        let chosen = chosen.filter(|(_, emptying)| emptying.is_new(moment.now));
        let chosen = chosen.filter(|((wave, _), _)| *wave == number);
        steps.extend(chosen.map(|(key, _)| SchedulerAction::BoxChosen(key.clone())));
        let down = self.list_away(state);
        outlook.down = wave.order.boxes.intersection(&down).count();
        let next = self.emptying.keys().filter(|(wave, _)| *wave == number);
        outlook.next = next.map(|(_, name)| name.clone()).collect();
        self.wave_statuses.insert(number, outlook);
    }

    /// Chooses boxes until as many are away as the pace allows; returns why no further one is chosen.
    fn choose_boxes(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        state: &UpkeepState,
        moment: &SchedulerInput,
        at_once: u32,
        can_wait: bool,
    ) -> Option<WaitReason> {
        if !self.list.is_fresh(moment.now) {
            return Some(WaitReason::NoList);
        }
        loop {
            let away = self.list_away(state);
            let down = wave.order.boxes.intersection(&away).count();
            if down >= at_once.min(wave.order.most_down) as usize {
                return Some(WaitReason::EnoughDown);
            }
            let candidates = wave.waiting().filter(|name| {
                !away.contains(*name) && self.may_begin(&(number, (*name).clone()), moment.now)
            });
            let listed = candidates.filter_map(|name| self.list.boxes.get(name));
            let up = listed.filter(|listed| listed.status == BoxStatus::Up);
            let is_idle = |listed: &ListedBox| {
                find_load(listed, moment.loads, moment.now).is_some_and(|load| load.is_empty)
            };
            let boxes = &self.list.boxes;
            let next = choose_next_box(up, boxes, &away, moment.evacuated, is_idle);
            let Some(next) = next else {
                return Some(WaitReason::NoneReady);
            };
            let (evacuated, loads) = (moment.evacuated, moment.loads);
            if can_wait && !has_room(next, boxes, &away, evacuated, loads, moment.now) {
                return Some(WaitReason::NoRoom);
            }
            let emptying = Emptying {
                since: moment.now,
                told_at: None,
                target: next.target.clone(),
            };
            self.emptying.insert((number, next.name.clone()), emptying);
        }
    }

    fn may_begin(&self, key: &WaveBox, now: Timestamp) -> bool {
        let calls = self.calls.get(key);
        calls.is_none_or(|calls| calls.may_begin_again(now)) && self.may_touch(&key.1, now)
    }

    /// Returns what is left of a wave's span: by the steady clock since this holder saw it, or by the wall clock, whichever is less.
    fn find_time_left(&self, number: WaveNumber, wave: &Wave, moment: &SchedulerInput) -> Duration {
        let span = wave.order.span;
        let seen_at = self.seen_at.get(&number).copied().unwrap_or(moment.now);
        let by_steady = span.saturating_sub(moment.now.saturating_duration_since(seen_at));
        let by_wall = (wave.order.received_at + span).saturating_sub(moment.wall);
        by_steady.min(by_wall)
    }
}
