//! The steady clock of a process.

use std::time::{Duration, Instant};

/// Measures from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started_at: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }
}

impl ProcessClock {
    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}
