//! What a dispatcher has learned of a target from its own results.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// Bounds of the judgement on targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthLimits {
    /// Weight of the newest result against all earlier ones.
    pub weight: f64,
    /// Share of troubled results from which a target gets no work for a while.
    pub troubled_share: f64,
    /// First pause without work.
    pub first_pause: Duration,
    /// Longest pause without work.
    pub longest_pause: Duration,
}

impl Default for HealthLimits {
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
    trouble: f64,
    paused_until: Timestamp,
    pause: Duration,
}

impl TargetHealth {
    /// Begins with a good opinion.
    pub fn new(limits: HealthLimits) -> Self {
        Self {
            limits,
            trouble: 0.0,
            paused_until: Timestamp::ZERO,
            pause: limits.first_pause,
        }
    }

    /// Notes a run that ended well.
    pub fn note_success(&mut self) {
        self.trouble *= 1.0 - self.limits.weight;
        if self.trouble < 0.05 {
            self.pause = self.limits.first_pause;
        }
    }

    /// Notes a run that failed, hung or was never answered; returns whether the target is paused by it.
    pub fn note_trouble(&mut self, now: Timestamp) -> bool {
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

    /// Says whether the target gets work.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        now >= self.paused_until
    }
}
