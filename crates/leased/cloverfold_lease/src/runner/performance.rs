//! Decision: whether a target is paused or on probation, and how slow it is.
//!
//! Judges one target by all its runs, whichever dispatcher they belong to.
//! Owns the results and speeds of its newest runs. Relies on [`TargetHealth`] for when a pause begins and how long it lasts.
//!
//! ```text
//! offered ──stuck runs──> paused ──time──> on probation ──a run is done, or time──> offered
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::health::{HealthLimits, TargetHealth};
use crate::resources::Resources;

/// How long a target is on probation after a pause, at most, before all of its capacity is offered again.
///
/// docs/design/8-progress.md, "Pause".
const PROBATION: Duration = Duration::from_secs(2);
/// During probation one part of so many of the target's processors is offered.
///
/// docs/design/8-progress.md, "Pause".
const PROBATION_PARTS: i64 = 6;

/// Runs whose newest speeds are kept, each counted once.
///
/// docs/design/8-progress.md, "Slowness": estimates are wrong by half, so the verdict is the median of many runs; with a moving mean
/// one run with a wrong estimate made its target look slow (trial). The number itself was chosen.
const MEASURED_RUNS: usize = 16;
/// With fewer measured runs than this the slowness is unknown.
const MIN_MEASURED_RUNS: usize = 5;
/// Older measurements do not count, so that a target that was slow is used again.
///
/// docs/design/8-progress.md, "Slowness".
const SPEED_MEMORY: Duration = Duration::from_secs(2);
/// The lowest median speed that counts, 1 being as fast as estimated: it bounds the slowness at 50.
const LOWEST_SPEED: f64 = 0.02;

/// The judgement on a target by its runs.
#[derive(Clone, Debug)]
pub(super) struct TargetPerformance {
    health: TargetHealth,
    /// Whether it gets no work at present.
    is_paused: bool,
    /// Until then it is offered in part.
    probation_until: Option<Timestamp>,
    /// Whether a run was ever seen to advance: some targets report no progress, or always the same.
    reports_progress: bool,
    /// Speeds of its newest runs, oldest measurement first.
    speeds: VecDeque<MeasuredSpeed>,
}

/// How fast one run advanced when it was measured last.
#[derive(Clone, Copy, Debug)]
struct MeasuredSpeed {
    /// The number of the run within this process.
    sequence: u64,
    /// 1 is as fast as estimated.
    speed: f64,
    measured_at: Timestamp,
}

impl MeasuredSpeed {
    /// Returns whether the measurement is recent enough to count.
    fn counts(&self, now: Timestamp) -> bool {
        now < self.measured_at + SPEED_MEMORY
    }
}

impl TargetPerformance {
    pub(super) fn new() -> Self {
        Self {
            health: TargetHealth::new(HealthLimits::default()),
            is_paused: false,
            probation_until: None,
            reports_progress: false,
            speeds: VecDeque::with_capacity(MEASURED_RUNS),
        }
    }

    /// Records that a run was seen to advance.
    pub(super) fn record_progress(&mut self) {
        self.reports_progress = true;
    }

    /// Returns whether the target reports progress by which it can be judged.
    pub(super) fn reports_progress(&self) -> bool {
        self.reports_progress
    }

    /// Records a measurement of one run's speed, which replaces the one before; 1 is as fast as estimated.
    pub(super) fn record_speed(&mut self, sequence: u64, speed: f64, now: Timestamp) {
        self.speeds
            .retain(|kept| kept.sequence != sequence && kept.counts(now));
        if self.speeds.len() == MEASURED_RUNS {
            self.speeds.pop_front();
        }
        self.speeds.push_back(MeasuredSpeed {
            sequence,
            speed,
            measured_at: now,
        });
    }

    /// Returns how much longer runs take than estimated, in thousandths of the estimate, as the median of the newest runs; 0 while it
    /// is unknown, that is with fewer than [`MIN_MEASURED_RUNS`].
    pub(super) fn slowness_permille(&self, now: Timestamp) -> u32 {
        let newest = self.speeds.iter().filter(|kept| kept.counts(now));
        let mut speeds: Vec<f64> = newest.map(|kept| kept.speed).collect();
        if speeds.len() < MIN_MEASURED_RUNS {
            return 0;
        }
        let middle = speeds.len() / 2;
        let (_, median, _) = speeds.select_nth_unstable_by(middle, f64::total_cmp);
        (1_000.0 / median.max(LOWEST_SPEED)) as u32
    }

    pub(super) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Returns what is offered of a capacity: on probation one part of [`PROBATION_PARTS`] of the processors, otherwise all of it.
    pub(super) fn offer(&self, capacity: &Resources) -> Resources {
        let mut offered = *capacity;
        if self.probation_until.is_some() {
            offered.cpu_milli /= PROBATION_PARTS;
        }
        offered
    }

    /// Records a run that was done; it ends a probation.
    pub(super) fn record_done(&mut self) {
        self.health.record_success();
        self.probation_until = None;
    }

    /// Records a run that was stuck; returns whether the target is paused by it.
    ///
    /// [`TargetHealth`] decides: three stuck runs without one that is done between them, after a pause one.
    pub(super) fn record_stuck(&mut self, now: Timestamp) -> bool {
        let is_new = self.health.record_failure(now);
        self.is_paused |= is_new;
        is_new
    }

    /// Ends a probation whose time is over, and a pause whose time is over, which begins a probation; returns whether a pause ended.
    pub(super) fn end_pause(&mut self, now: Timestamp) -> bool {
        if self.probation_until.is_some_and(|until| now >= until) {
            self.probation_until = None;
        }
        if !self.is_paused || !self.health.accepts_work(now) {
            return false;
        }
        self.is_paused = false;
        self.probation_until = Some(now + PROBATION);
        true
    }
}
