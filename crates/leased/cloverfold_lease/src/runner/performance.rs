//! Decides whether a target is paused or on probation, and how slow it is.
//!
//! It considers the runs of all dispatchers. [`TargetHealth`] decides when a pause begins and how long it lasts.
//!
//! ```text
//! offered ──stuck runs──> paused ──time──> on probation ──a run is done, or time──> offered
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::health::{HealthLimits, TargetHealth};
use crate::resources::Resources;

/// Maximum length of the probation after a pause.
const PROBATION: Duration = Duration::from_secs(2);
/// Divisor of the processors offered during probation.
const PROBATION_DIVISOR: i64 = 6;

/// Number of newest runs whose speeds are kept. The median over many runs tolerates estimates that are wrong by half; with a moving mean,
/// one run with a wrong estimate would make its target look slow.
const MEASURED_RUNS: usize = 16;
/// Minimum number of measured runs for a known slowness.
const MIN_MEASURED_RUNS: usize = 5;
/// Age from which a measurement no longer counts, so that a target that was slow is used again.
const SPEED_MAX_AGE: Duration = Duration::from_secs(2);
/// Lower bound of the median speed, where 1 is as fast as estimated; it limits the slowness to 50.
const MIN_SPEED: f64 = 0.02;

/// Performance of a target, measured by its runs.
#[derive(Clone, Debug)]
pub(super) struct TargetPerformance {
    health: TargetHealth,
    /// Whether it gets no work.
    is_paused: bool,
    /// End of the probation, during which only a part of the capacity is offered.
    probation_until: Option<Timestamp>,
    /// Whether a run was ever seen to advance; some targets report no progress or a constant value.
    reports_progress: bool,
    /// Speeds of the newest runs, oldest measurement first.
    speeds: VecDeque<MeasuredSpeed>,
}

/// The newest speed measurement of one run.
#[derive(Clone, Copy, Debug)]
struct MeasuredSpeed {
    /// Sequence number of the run within this process.
    sequence: u64,
    /// 1 is as fast as estimated.
    speed: f64,
    measured_at: Timestamp,
}

impl MeasuredSpeed {
    /// Returns whether the measurement is recent enough to count.
    fn is_recent(&self, now: Timestamp) -> bool {
        now < self.measured_at + SPEED_MAX_AGE
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

    /// Records that a run advanced.
    pub(super) fn record_progress(&mut self) {
        self.reports_progress = true;
    }

    /// Returns whether the target reports progress, so that stuck runs can be detected.
    pub(super) fn reports_progress(&self) -> bool {
        self.reports_progress
    }

    /// Records the speed of a run, where 1 is as fast as estimated; replaces its previous measurement.
    pub(super) fn record_speed(&mut self, sequence: u64, speed: f64, now: Timestamp) {
        self.speeds
            .retain(|measured| measured.sequence != sequence && measured.is_recent(now));
        if self.speeds.len() == MEASURED_RUNS {
            self.speeds.pop_front();
        }
        self.speeds.push_back(MeasuredSpeed {
            sequence,
            speed,
            measured_at: now,
        });
    }

    /// Returns the median run time of the newest runs in thousandths of the estimate; 0 with fewer than [`MIN_MEASURED_RUNS`] measurements.
    pub(super) fn slowness_permille(&self, now: Timestamp) -> u32 {
        let newest = self
            .speeds
            .iter()
            .filter(|measured| measured.is_recent(now));
        let mut speeds: Vec<f64> = newest.map(|measured| measured.speed).collect();
        if speeds.len() < MIN_MEASURED_RUNS {
            return 0;
        }
        let middle = speeds.len() / 2;
        let (_, median, _) = speeds.select_nth_unstable_by(middle, f64::total_cmp);
        (1_000.0 / median.max(MIN_SPEED)) as u32
    }

    pub(super) fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Returns the offered part of a capacity: during probation the processors divided by [`PROBATION_DIVISOR`], otherwise all of it.
    pub(super) fn offer(&self, capacity: &Resources) -> Resources {
        let mut offered = *capacity;
        if self.probation_until.is_some() {
            offered.cpu_milli /= PROBATION_DIVISOR;
        }
        offered
    }

    /// Records a completed run, which ends a probation.
    pub(super) fn record_done(&mut self) {
        self.health.record_success();
        self.probation_until = None;
    }

    /// Records a stuck run; returns whether it pauses the target.
    ///
    /// [`TargetHealth`] decides: three stuck runs without a completed one between them pause the target; after a pause one stuck run does.
    pub(super) fn record_stuck(&mut self, now: Timestamp) -> bool {
        let is_new = self.health.record_failure(now);
        self.is_paused |= is_new;
        is_new
    }

    /// Ends an expired probation, and an expired pause, which begins a probation; returns whether a pause ended.
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
