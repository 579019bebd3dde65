//! What is learned of a target from the results of its runs.
//!
//! Each result moves the share of troubled results, a moving mean. From [`HealthLimits::troubled_share`] on the target gets no work for
//! a pause, which doubles with each further one up to a limit. There are two judges, each with a [`TargetHealth`] of its own: a
//! dispatcher by the ends of its own runs, and the runner beside the target, for all dispatchers, by runs that stand still.
//!
//! Owns [`TargetHealth`]. Relies on the judge to record only results that speak of the target.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// Share of troubled results below which the next pause is the first again.
const CLEARED_SHARE: f64 = 0.05;

/// Limits of the judgement on targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthLimits {
    /// Weight of the newest result against all earlier ones, between 0 and 1.
    pub weight: f64,
    /// Share of troubled results from which a target gets no work for a while, between 0 and 1.
    pub troubled_share: f64,
    /// First pause without work.
    pub first_pause: Duration,
    /// Longest pause without work.
    pub longest_pause: Duration,
}

impl Default for HealthLimits {
    /// Returns limits with which three troubles in a row pause a target, for 1 s at first and 8 s at the most.
    fn default() -> Self {
        Self {
            weight: 0.25,
            troubled_share: 0.5,
            first_pause: Duration::from_millis(1_000),
            longest_pause: Duration::from_millis(8_000),
        }
    }
}

/// The judgement on one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    limits: HealthLimits,
    /// Moving share of troubled results.
    trouble: f64,
    paused_until: Timestamp,
    /// How long the next pause lasts.
    pause: Duration,
}

impl TargetHealth {
    /// Returns the judgement on a target without any result.
    pub fn new(limits: HealthLimits) -> Self {
        Self {
            limits,
            trouble: 0.0,
            paused_until: Timestamp::ZERO,
            pause: limits.first_pause,
        }
    }

    /// Records a run that is done.
    pub fn record_success(&mut self) {
        self.trouble *= 1.0 - self.limits.weight;
        if self.trouble < CLEARED_SHARE {
            self.pause = self.limits.first_pause;
        }
    }

    /// Records a run that failed, was overdue, stood still or was never answered; returns whether the target is paused by it.
    pub fn record_trouble(&mut self, now: Timestamp) -> bool {
        let weight = self.limits.weight;
        self.trouble += weight * (1.0 - self.trouble);
        if self.trouble < self.limits.troubled_share || now < self.paused_until {
            return false;
        }
        self.paused_until = now + self.pause;
        self.pause = (self.pause * 2).min(self.limits.longest_pause);
        // One more trouble after the pause brings the next pause.
        self.trouble = self.limits.troubled_share - weight / 2.0;
        true
    }

    /// Returns whether the target gets work.
    pub fn accepts_work(&self, now: Timestamp) -> bool {
        now >= self.paused_until
    }
}
