//! A retry budget, which limits retries to a share of the successes.

/// Token bucket that successes fill and retries empty, so that retries cannot amplify an outage.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    earned_per_success: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Builds a full budget of `capacity` retries that earns `earned_per_success` retries per success.
    pub fn new(earned_per_success: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            earned_per_success,
            capacity,
        }
    }

    /// Adds the tokens of one success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.earned_per_success).min(self.capacity);
    }

    /// Spends one retry; returns whether the budget allows it.
    pub fn take_retry(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
