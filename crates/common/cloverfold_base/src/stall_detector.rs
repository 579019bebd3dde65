//! Detection of process stalls, in which the process was frozen or starved of processor time.
//!
//! A process polls the detector at least every few tens of milliseconds; a longer gap counts as a stall.

use std::time::Duration;

use crate::clock::Timestamp;

/// Gap between two polls above which the process counts as stalled: five ticks.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Detects stalls of a process from the gaps between polls.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    last_polled_at: Timestamp,
}

impl StallDetector {
    /// Returns the time since the previous poll if the process was stalled in between.
    pub fn poll(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.last_polled_at);
        self.last_polled_at = now;
        (gap > STALL_THRESHOLD).then_some(gap)
    }
}
