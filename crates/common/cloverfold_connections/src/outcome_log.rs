//! Counts of what a budget has closed and refused, and when to log them.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// Minimum time between two log lines of a budget.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Something that a budget did because it was used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Closed,
    ConnectionRefused,
    MemoryRefused,
}

/// Number of each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutcomeCounts {
    pub(crate) closed: u64,
    pub(crate) refused_connections: u64,
    pub(crate) refused_memory: u64,
}

impl OutcomeCounts {
    fn of(&mut self, outcome: Outcome) -> &mut u64 {
        match outcome {
            Outcome::Closed => &mut self.closed,
            Outcome::ConnectionRefused => &mut self.refused_connections,
            Outcome::MemoryRefused => &mut self.refused_memory,
        }
    }
}

/// Counts outcomes since the start and since the last log line.
#[derive(Debug, Default)]
pub(crate) struct OutcomeLog {
    total: OutcomeCounts,
    unlogged: OutcomeCounts,
    logged_at: Option<Timestamp>,
}

impl OutcomeLog {
    /// Counts an outcome; returns the counts since the last log line if another one is due.
    pub(crate) fn record(&mut self, outcome: Outcome, now: Timestamp) -> Option<OutcomeCounts> {
        *self.total.of(outcome) += 1;
        *self.unlogged.of(outcome) += 1;
        let is_due = |logged_at| now.saturating_duration_since(logged_at) >= LOG_INTERVAL;
        if !self.logged_at.is_none_or(is_due) {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// Returns the number of an outcome since the start.
    pub(crate) fn count(&self, outcome: Outcome) -> u64 {
        let mut total = self.total;
        *total.of(outcome)
    }
}
