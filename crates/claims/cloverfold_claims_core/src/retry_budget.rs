//! A bound on retries as a share of what succeeds.
//!
//! Owns the tokens of one process.

/// Tokens that retries spend and successes earn, so that retries cannot multiply a failure.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    earned_per_success: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Builds a full budget that allows `share` retries per success and `capacity` at once.
    pub fn new(share: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            earned_per_success: share,
            capacity,
        }
    }

    /// Adds the tokens that one success earns.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.earned_per_success).min(self.capacity);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn take_retry(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
