//! Whether runs get on: a target that looks well may let them stand still.

use std::time::Duration;

use crate::health::{HealthLimits, TargetHealth};
use crate::messages::{Refusal, RunOutcome, TaskId};
use crate::resources::Resources;
use crate::runner::Runner;
use crate::runner::held::HeldState;
use crate::timings::Moment;

/// A run that is seen at the same percent for this long stands still, whatever its length.
const SHORTEST_STALL: Duration = Duration::from_millis(100);
/// Share of the estimated duration for which a longer run may be seen at the same percent: a target may be ten times slower than
/// usual and still get on.
const STALL_SHARE: f64 = 0.12;
/// Sightings without progress that a verdict takes at least, so that a runner which itself stood still judges nobody.
const MIN_SIGHTINGS: u32 = 3;
/// How long a target is tried after a pause before all of its room is offered again.
const TRIAL_SPAN: Duration = Duration::from_secs(2);
/// The part of the processors that is offered to a target on trial is one of so many.
const TRIAL_PARTS: i64 = 6;

/// How far a run was seen to have come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProgressWatch {
    percent: Option<u8>,
    advanced_at: Moment,
    /// How often it was seen since without having advanced.
    sightings: u32,
}

impl ProgressWatch {
    /// Notes what the target tells; a target that tells nothing is never found to stand still.
    pub(crate) fn note(&mut self, percent: Option<u8>, now: Moment) {
        if percent.is_none() || percent != self.percent {
            self.percent = percent;
            self.advanced_at = now;
            self.sightings = 0;
        } else {
            self.sightings += 1;
        }
    }

    /// Says whether a run of this estimated duration stands still.
    pub(crate) fn stands_still(&self, estimate: Duration, now: Moment) -> bool {
        let limit = estimate.mul_f64(STALL_SHARE).max(SHORTEST_STALL);
        self.sightings >= MIN_SIGHTINGS && now >= self.advanced_at + limit
    }
}

/// What the runs at a target say of it, those of all dispatchers together.
#[derive(Clone, Debug)]
pub(crate) struct TargetConduct {
    health: TargetHealth,
    /// Whether it gets no work at present.
    is_paused: bool,
    /// Until then it is offered in part.
    trial_until: Option<Moment>,
}

impl TargetConduct {
    pub(crate) fn new() -> Self {
        Self {
            health: TargetHealth::new(HealthLimits::default()),
            is_paused: false,
            trial_until: None,
        }
    }

    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Returns what is offered of a capacity.
    pub(crate) fn offer(&self, capacity: &Resources) -> Resources {
        let mut offered = *capacity;
        if self.trial_until.is_some() {
            offered.cpu_milli /= TRIAL_PARTS;
        }
        offered
    }

    /// Notes a run that was done.
    pub(crate) fn note_done(&mut self) {
        const USUAL_RATIO: f64 = 1.0;
        self.health.note_success(USUAL_RATIO);
        self.trial_until = None;
    }

    /// Notes a run that stood still; returns whether the target is paused by it.
    fn note_stuck(&mut self, now: Moment) -> bool {
        let is_new = self.health.note_trouble(now);
        self.is_paused |= is_new;
        is_new
    }

    /// Ends a pause or a trial whose time is over; returns whether a pause ended.
    fn end_pause(&mut self, now: Moment) -> bool {
        if self.trial_until.is_some_and(|until| now >= until) {
            self.trial_until = None;
        }
        if !self.is_paused || !self.health.takes_work(now) {
            return false;
        }
        self.is_paused = false;
        self.trial_until = Some(now + TRIAL_SPAN);
        true
    }
}

impl Runner {
    /// Stops the runs that stand still, and gives a target no work for a while that lets them.
    pub(super) fn stop_stuck_runs(&mut self, now: Moment) {
        let is_stuck = |state: &HeldState| matches!(state, HeldState::Running { .. });
        let stuck: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| is_stuck(&held.state))
            .filter(|(_, held)| held.progress.stands_still(held.estimate, now))
            .map(|(task, _)| task.clone())
            .collect();
        for task in stuck {
            if let Some(held) = self.tasks.get_mut(&task) {
                held.is_stuck = true;
            }
            self.counts.stuck += 1;
            self.stop_task(task, RunOutcome::Stuck, now);
            let target = self.target.as_mut();
            if target.is_some_and(|target| target.conduct.note_stuck(now)) {
                self.counts.pauses += 1;
                self.give_back_waiting(Refusal::NoTarget, now);
                self.announce_target();
            }
        }
    }

    /// Offers the target again whose pause is over.
    pub(super) fn end_target_pause(&mut self, now: Moment) {
        let target = self.target.as_mut();
        if target.is_some_and(|target| target.conduct.end_pause(now)) {
            self.announce_target();
        }
    }
}
