//! Selection of the next boxes of a wave: how many may go down now, and which.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::{BoxStatus, ListedBox};
use crate::draining::Draining;
use crate::load::{can_wait, has_spare_capacity, recent_load};
use crate::pace::plan_pace;
use crate::ranking::select_next_box;
use crate::scheduler::{SchedulerAction, SchedulerInput, UpkeepScheduler, WaveBox};
use crate::state::{UpkeepState, Wave};
use crate::wave::WaveNumber;
use crate::wave_status::{WaitReason, WaveStatus};

impl UpkeepScheduler {
    /// Advances the draining boxes of a wave, and selects further ones as its pace allows.
    pub(crate) fn select_boxes(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        state: &UpkeepState,
        input: &SchedulerInput,
        actions: &mut Vec<SchedulerAction>,
    ) {
        let time_left = self.remaining_time(number, wave, input);
        self.drain_boxes(number, wave, state, input, time_left, actions);
        let waiting = wave.waiting().count();
        let pace = plan_pace(
            waiting,
            wave.order.most_down,
            self.timings.cycle(),
            time_left,
        );
        let mut status = WaveStatus::new(pace, waiting);
        if waiting > 0 {
            let can_wait = can_wait(waiting, &wave.order, self.timings.cycle(), time_left);
            status.wait_reason =
                self.select_until_limit(number, wave, state, input, pace.at_once, can_wait);
        }
        let selected = self.draining.iter();
        let selected = selected.filter(|(_, draining)| draining.is_new(input.now));
        let selected = selected.filter(|((wave, _), _)| *wave == number);
        actions.extend(selected.map(|(key, _)| SchedulerAction::BoxSelected(key.clone())));
        let down = self.unavailable_boxes(state);
        status.unavailable = wave.order.boxes.intersection(&down).count();
        let next = self.draining.keys().filter(|(wave, _)| *wave == number);
        status.draining = next.map(|(_, name)| name.clone()).collect();
        self.wave_statuses.insert(number, status);
    }

    /// Selects boxes until as many are unavailable as the pace allows. Returns the reason why no further one is selected.
    fn select_until_limit(
        &mut self,
        number: WaveNumber,
        wave: &Wave,
        state: &UpkeepState,
        input: &SchedulerInput,
        at_once: u32,
        can_wait: bool,
    ) -> Option<WaitReason> {
        if !self.list.is_fresh(input.now) {
            return Some(WaitReason::NoList);
        }
        loop {
            let unavailable = self.unavailable_boxes(state);
            let down = wave.order.boxes.intersection(&unavailable).count();
            if down >= at_once.min(wave.order.most_down) as usize {
                return Some(WaitReason::EnoughDown);
            }
            let candidates = wave.waiting().filter(|name| {
                !unavailable.contains(*name)
                    && self.may_call_box(&(number, (*name).clone()), input.now)
            });
            let listed = candidates.filter_map(|name| self.list.boxes.get(name));
            let up = listed.filter(|listed| listed.status == BoxStatus::Up);
            let is_idle = |listed: &ListedBox| {
                recent_load(listed, input.loads, input.now).is_some_and(|load| load.is_empty)
            };
            let boxes = &self.list.boxes;
            let next = select_next_box(up, boxes, &unavailable, input.evacuated, is_idle);
            let Some(next) = next else {
                return Some(WaitReason::NoneReady);
            };
            let (evacuated, loads) = (input.evacuated, input.loads);
            if can_wait
                && !has_spare_capacity(next, boxes, &unavailable, evacuated, loads, input.now)
            {
                return Some(WaitReason::NoRoom);
            }
            let draining = Draining {
                since: input.now,
                hold_sent_at: None,
                target: next.target.clone(),
            };
            self.draining.insert((number, next.name.clone()), draining);
        }
    }

    fn may_call_box(&self, key: &WaveBox, now: Timestamp) -> bool {
        let calls = self.calls.get(key);
        calls.is_none_or(|calls| calls.may_retry(now)) && self.is_takeover_safe(&key.1, now)
    }

    /// Returns the remaining time of a wave: by the monotonic clock since this scheduler first saw it, or by the wall clock, whichever is
    /// shorter.
    fn remaining_time(&self, number: WaveNumber, wave: &Wave, input: &SchedulerInput) -> Duration {
        let span = wave.order.span;
        let first_seen_at = self
            .first_seen_at
            .get(&number)
            .copied()
            .unwrap_or(input.now);
        let by_monotonic = span.saturating_sub(input.now.saturating_duration_since(first_seen_at));
        let by_wall = (wave.order.received_at + span).saturating_sub(input.wall);
        by_monotonic.min(by_wall)
    }
}
