//! Estimates how fast a target usually is, as opposed to its current speed (`performance`).
//!
//! Boxes of one installation differ in speed. A run on a permanently slow box should be given time, while one on a box with a temporary
//! problem should move elsewhere.
//!
//! The usual slowness is the mean ratio of run time to estimate of the completed runs: a plain mean of the first [`AVERAGED_RUNS`], then an
//! exponential moving average, since single estimates are often wrong by half. After [`MIN_RUNS`], a run that takes more than
//! [`OUTLIER_FACTOR`] times the usual time is discarded: it indicates a temporary problem or a wrong estimate. A target with another
//! service, capacity or set of labels starts a new estimate; a restart of the same target does not.
//!
//! The estimate is a hint that is lost when the process restarts.

use std::time::Duration;

use crate::messages::UsualSpeed;
use crate::resources::Resources;
use crate::runner::answers::TargetRegistration;

/// Minimum number of runs for a known speed; with estimates wrong by half, the mean is then wrong by about a tenth.
const MIN_RUNS: u32 = 20;
/// Number of runs with equal weight; from then on each new run has the weight 1 / `AVERAGED_RUNS`.
const AVERAGED_RUNS: u32 = 100;
/// A run that takes more than this many times the usual time is discarded.
const OUTLIER_FACTOR: f64 = 3.0;
/// Lower bound of the slowness of one run.
const MIN_SLOWNESS: f64 = 0.1;
/// Upper bound of the slowness of one run.
const MAX_SLOWNESS: f64 = 20.0;
/// Relative change from which dispatchers get a new report.
const MIN_REPORTED_CHANGE: f64 = 0.1;

/// Properties that stay the same when a target restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TargetProfile {
    service: String,
    capacity: Resources,
    labels: Vec<String>,
}

impl TargetProfile {
    fn of(registration: &TargetRegistration) -> Self {
        Self {
            service: registration.service.clone(),
            capacity: registration.capacity,
            labels: registration.labels.clone(),
        }
    }
}

/// Estimate of the usual speed of the target beside a runner.
#[derive(Debug, Default)]
pub(super) struct UsualSpeedEstimator {
    profile: Option<TargetProfile>,
    /// Mean ratio of run time to estimate.
    slowness: f64,
    runs: u32,
}

impl UsualSpeedEstimator {
    /// Starts a new estimate if the registered target has another profile.
    pub(super) fn record_target(&mut self, registration: &TargetRegistration) {
        let profile = TargetProfile::of(registration);
        if self.profile.as_ref() != Some(&profile) {
            *self = Self {
                profile: Some(profile),
                ..Self::default()
            };
        }
    }

    /// Records a completed run; one without an estimate is ignored.
    pub(super) fn record_run(&mut self, ran: Duration, estimate: Duration) {
        if ran.is_zero() || estimate.is_zero() {
            return;
        }
        let slowness = ran.div_duration_f64(estimate);
        let slowness = slowness.clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        if self.runs >= MIN_RUNS && slowness > OUTLIER_FACTOR * self.slowness {
            return;
        }
        self.runs = self.runs.saturating_add(1);
        let weight = 1.0 / f64::from(self.runs.min(AVERAGED_RUNS));
        self.slowness += weight * (slowness - self.slowness);
    }

    /// Returns the speed to report; the default while it is unknown.
    pub(super) fn current(&self) -> UsualSpeed {
        if self.runs < MIN_RUNS {
            return UsualSpeed::default();
        }
        UsualSpeed {
            slowness_permille: (self.slowness * 1_000.0).round() as u32,
            runs: self.runs,
        }
    }
}

/// Returns whether `known` differs from `reported` by more than [`MIN_REPORTED_CHANGE`].
pub(super) fn differs_notably(reported: UsualSpeed, known: UsualSpeed) -> bool {
    let before = f64::from(reported.slowness_permille);
    let difference = (f64::from(known.slowness_permille) - before).abs();
    difference > before * MIN_REPORTED_CHANGE
}
