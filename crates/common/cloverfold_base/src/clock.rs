//! The steady clock of a process and the wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall-clock time as the span since the Unix epoch.
pub type UnixTime = Duration;

/// Returns the wall-clock time; a clock before 1970 counts as 1970.
pub fn unix_now() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// A steady clock that measures from its creation, usually the start of the process.
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
