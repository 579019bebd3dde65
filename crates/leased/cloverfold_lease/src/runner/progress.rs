//! Whether and how fast runs get on: a target that looks well may be slow or let them stand still.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::health::{HealthLimits, TargetHealth};
use crate::messages::{RunOutcome, RunRefusal, TaskId};
use crate::resources::Resources;
use crate::runner::Runner;
use crate::runner::held::HeldState;

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

/// Spans over which the speed of a run is measured: the shortest gives a first estimate, which is refined until the run has advanced
/// by [`MEASURED_ADVANCE`] percent or the longest has passed.
const SPEED_SPAN: Duration = Duration::from_millis(80);
const LONGEST_SPEED_SPAN: Duration = Duration::from_millis(400);
const MEASURED_ADVANCE: u8 = 5;
/// Runs whose newest speeds are kept. Estimates are wrong by half, so a verdict takes the median of many runs, each counted once.
const MEASURED_RUNS: usize = 16;
/// With fewer runs than this nothing is said of a target's speed.
const MIN_MEASURED_RUNS: usize = 5;
/// Older measurements are forgotten, so that a target that was slow is tried again.
const SPEED_MEMORY: Duration = Duration::from_secs(2);

/// How far a run was seen to have come.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ProgressWatch {
    percent: Option<u8>,
    advanced_at: Timestamp,
    /// How often it was seen since without having advanced.
    sightings: u32,
    /// The sighting from which its speed is measured.
    measured_from: Option<(u8, Timestamp)>,
}

impl ProgressWatch {
    /// Measures how fast the run gets on: 1 is as fast as estimated. Returns nothing until the span is long enough.
    pub(crate) fn measure_speed(
        &mut self,
        percent: Option<u8>,
        estimate: Duration,
        now: Timestamp,
    ) -> Option<f64> {
        let percent = percent?;
        let Some((from, since)) = self.measured_from else {
            self.measured_from = Some((percent, now));
            return None;
        };
        let span = now.saturating_duration_since(since);
        if span < SPEED_SPAN {
            return None;
        }
        let advance = percent.saturating_sub(from);
        if advance >= MEASURED_ADVANCE || span >= LONGEST_SPEED_SPAN {
            self.measured_from = Some((percent, now));
        }
        let done = f64::from(advance) / 100.0;
        Some(done * estimate.as_secs_f64() / span.as_secs_f64())
    }

    /// Notes what the target tells; returns whether the run has advanced since it was seen last.
    pub(crate) fn note(&mut self, percent: Option<u8>, now: Timestamp) -> bool {
        let before = self.percent;
        if percent.is_some() && percent == before {
            self.sightings += 1;
            return false;
        }
        self.percent = percent;
        self.advanced_at = now;
        self.sightings = 0;
        before.is_some() && percent > before
    }

    /// Says whether a run of this estimated duration stands still.
    pub(crate) fn stands_still(&self, estimate: Duration, now: Timestamp) -> bool {
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
    trial_until: Option<Timestamp>,
    /// Whether a run was ever seen to advance: some targets tell nothing of progress, or always the same.
    tells_progress: bool,
    /// Speeds of its newest runs, oldest measurement first.
    speeds: VecDeque<MeasuredSpeed>,
}

/// How fast one run got on when it was measured last.
#[derive(Clone, Copy, Debug)]
struct MeasuredSpeed {
    /// The number of the run within this process.
    order: u64,
    /// 1 is as fast as estimated.
    speed: f64,
    at: Timestamp,
}

impl TargetConduct {
    pub(crate) fn new() -> Self {
        Self {
            health: TargetHealth::new(HealthLimits::default()),
            is_paused: false,
            trial_until: None,
            tells_progress: false,
            speeds: VecDeque::with_capacity(MEASURED_RUNS),
        }
    }

    /// Notes that a run was seen to advance.
    pub(crate) fn note_progress(&mut self) {
        self.tells_progress = true;
    }

    /// Takes a measurement of one run's speed, which replaces the one before.
    pub(crate) fn note_speed(&mut self, order: u64, speed: f64, at: Timestamp) {
        self.speeds
            .retain(|held| held.order != order && at < held.at + SPEED_MEMORY);
        if self.speeds.len() == MEASURED_RUNS {
            self.speeds.pop_front();
        }
        self.speeds.push_back(MeasuredSpeed { order, speed, at });
    }

    /// Returns the usual duration of runs against their estimates, in thousandths; 0 while it is not known.
    pub(crate) fn slowness_permille(&self, now: Timestamp) -> u32 {
        const SLOWEST: f64 = 0.02;
        let is_new = |held: &&MeasuredSpeed| now < held.at + SPEED_MEMORY;
        let mut speeds: Vec<f64> = self.speeds.iter().filter(is_new).map(|s| s.speed).collect();
        if speeds.len() < MIN_MEASURED_RUNS {
            return 0;
        }
        let middle = speeds.len() / 2;
        let (_, median, _) = speeds.select_nth_unstable_by(middle, f64::total_cmp);
        (1_000.0 / median.max(SLOWEST)) as u32
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
        self.health.record_success();
        self.trial_until = None;
    }

    /// Notes a run that stood still; returns whether the target is paused by it.
    fn note_stuck(&mut self, now: Timestamp) -> bool {
        let is_new = self.health.record_trouble(now);
        self.is_paused |= is_new;
        is_new
    }

    /// Ends a pause or a trial whose time is over; returns whether a pause ended.
    fn end_pause(&mut self, now: Timestamp) -> bool {
        if self.trial_until.is_some_and(|until| now >= until) {
            self.trial_until = None;
        }
        if !self.is_paused || !self.health.accepts_work(now) {
            return false;
        }
        self.is_paused = false;
        self.trial_until = Some(now + TRIAL_SPAN);
        true
    }
}

impl Runner {
    /// Stops the runs that stand still, and gives a target no work for a while that lets them.
    pub(super) fn stop_stuck_runs(&mut self, now: Timestamp) {
        let target = self.target.as_ref();
        if !target.is_some_and(|target| target.conduct.tells_progress) {
            return;
        }
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
                self.give_back_waiting(RunRefusal::NoTarget, now);
                self.announce_target();
            }
        }
    }

    /// Offers the target again whose pause is over.
    pub(super) fn end_target_pause(&mut self, now: Timestamp) {
        let target = self.target.as_mut();
        if target.is_some_and(|target| target.conduct.end_pause(now)) {
            self.announce_target();
        }
    }
}
