//! Decision: how fast a target usually is, apart from how fast it is at present.
//!
//! Boxes of one installation are of several speeds. A run on a box that is slow by nature takes its time; one on a box that is slow by trouble
//! should go elsewhere. `performance` has how fast runs advance in the last seconds; this is what is usual.
//!
//! Rule: the usual slowness is the mean of run time over estimate of the runs that were done, the first [`FULL_RUNS`] with equal weight, then a
//! moving mean. A run that took [`TROUBLE_FACTOR`] times as long as is usual does not count, once [`MIN_RUNS`] are known: it tells of trouble, or of a
//! wrong estimate. A target of another service, capacity or set of labels begins anew; one that restarts as the same does not.
//!
//! Inputs: run time and estimate of each run, both spans of the runner's clock. Reason: estimates are wrong by half, so one run says
//! little; the target's nature does not change while it lives.
//!
//! Owns [`UsualSpeeds`], a hint of a few bytes that a restart of the process loses. Relies on `listing` to record the runs that are done.

use std::time::Duration;

use crate::messages::UsualSpeed;
use crate::resources::Resources;
use crate::runner::answers::TargetRegistration;

/// With fewer runs than this the usual speed is unknown: with estimates wrong by half the mean of so many is wrong by a tenth.
const MIN_RUNS: u32 = 20;
/// From so many runs on each new one counts for one part of so many.
const FULL_RUNS: u32 = 100;
/// A run that took so many times as long as usual does not count.
const TROUBLE_FACTOR: f64 = 3.0;
/// The lowest slowness of one run that counts.
const LOWEST_SLOWNESS: f64 = 0.1;
/// The highest slowness of one run that counts.
const HIGHEST_SLOWNESS: f64 = 20.0;
/// Change of the mean from which dispatchers are told again, as a share of what they know.
const TOLD_CHANGE: f64 = 0.1;

/// What a target is: the same after a restart.
#[derive(Clone, Debug, PartialEq, Eq)]
struct TargetNature {
    service: String,
    capacity: Resources,
    labels: Vec<String>,
}

impl TargetNature {
    fn of(registration: &TargetRegistration) -> Self {
        Self {
            service: registration.service.clone(),
            capacity: registration.capacity,
            labels: registration.labels.clone(),
        }
    }
}

/// The usual speed of the target beside a runner.
#[derive(Debug, Default)]
pub(super) struct UsualSpeeds {
    nature: Option<TargetNature>,
    /// Mean run time over estimate.
    slowness: f64,
    runs: u32,
}

impl UsualSpeeds {
    /// Begins anew if the target that has registered is another than before.
    pub(super) fn record_target(&mut self, registration: &TargetRegistration) {
        let nature = TargetNature::of(registration);
        if self.nature.as_ref() != Some(&nature) {
            *self = Self {
                nature: Some(nature),
                ..Self::default()
            };
        }
    }

    /// Records a run that is done; one without an estimate is ignored.
    pub(super) fn record_run(&mut self, ran: Duration, estimate: Duration) {
        if ran.is_zero() || estimate.is_zero() {
            return;
        }
        let slowness = ran.div_duration_f64(estimate);
        let slowness = slowness.clamp(LOWEST_SLOWNESS, HIGHEST_SLOWNESS);
        if self.runs >= MIN_RUNS && slowness > TROUBLE_FACTOR * self.slowness {
            return;
        }
        self.runs = self.runs.saturating_add(1);
        let weight = 1.0 / f64::from(self.runs.min(FULL_RUNS));
        self.slowness += weight * (slowness - self.slowness);
    }

    /// Returns what dispatchers are told; nothing is known at first.
    pub(super) fn known(&self) -> UsualSpeed {
        if self.runs < MIN_RUNS {
            return UsualSpeed::default();
        }
        UsualSpeed {
            slowness_permille: (self.slowness * 1_000.0).round() as u32,
            runs: self.runs,
        }
    }
}

/// Returns whether a dispatcher that was told `told` has to be told `known`.
pub(super) fn is_news(told: UsualSpeed, known: UsualSpeed) -> bool {
    let before = f64::from(told.slowness_permille);
    let difference = (f64::from(known.slowness_permille) - before).abs();
    difference > before * TOLD_CHANGE
}
