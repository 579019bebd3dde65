//! Health of a target, derived from the results of its runs.
//!
//! An exponentially weighted moving average tracks the failure rate. When it reaches [`HealthLimits::failure_threshold`], the target
//! receives no work for a pause. Each further pause is twice as long as the one before, up to a limit. Two components keep a
//! [`TargetHealth`] each: a dispatcher, for the results of its own runs, and the runner beside the target, for runs that make no progress,
//! on behalf of all dispatchers.
//!
//! Callers record only results that the target itself can have caused.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// Failure rate below which the next pause is reset to the initial pause.
const RESET_THRESHOLD: f64 = 0.05;

/// Thresholds and pauses of a [`TargetHealth`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthLimits {
    /// Weight of the newest result in the moving average, between 0 and 1.
    pub weight: f64,
    /// Failure rate from which a target is paused, between 0 and 1.
    pub failure_threshold: f64,
    /// Duration of the first pause.
    pub initial_pause: Duration,
    /// Maximum duration of a pause.
    pub max_pause: Duration,
}

impl Default for HealthLimits {
    /// Returns limits that pause a target after three consecutive failures, for 1 s at first and at most 8 s.
    fn default() -> Self {
        Self {
            weight: 0.25,
            failure_threshold: 0.5,
            initial_pause: Duration::from_millis(1_000),
            max_pause: Duration::from_millis(8_000),
        }
    }
}

/// The health of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    limits: HealthLimits,
    /// Moving average of the failure rate.
    failure_rate: f64,
    paused_until: Timestamp,
    next_pause: Duration,
}

impl TargetHealth {
    /// Returns the health of a target without any results.
    pub fn new(limits: HealthLimits) -> Self {
        Self {
            limits,
            failure_rate: 0.0,
            paused_until: Timestamp::ZERO,
            next_pause: limits.initial_pause,
        }
    }

    /// Records a completed run.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - self.limits.weight;
        if self.failure_rate < RESET_THRESHOLD {
            self.next_pause = self.limits.initial_pause;
        }
    }

    /// Records a run that failed, was overdue, made no progress or was never answered. Returns whether this starts a pause.
    pub fn record_failure(&mut self, now: Timestamp) -> bool {
        let weight = self.limits.weight;
        self.failure_rate += weight * (1.0 - self.failure_rate);
        if self.failure_rate < self.limits.failure_threshold || now < self.paused_until {
            return false;
        }
        self.paused_until = now + self.next_pause;
        self.next_pause = (self.next_pause * 2).min(self.limits.max_pause);
        // A single failure after the pause starts the next one.
        self.failure_rate = self.limits.failure_threshold - weight / 2.0;
        true
    }

    /// Returns whether the target is not paused.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        now >= self.paused_until
    }
}
