//! Detection of process stalls, in which the process was frozen or starved of processor time.
//!
//! A process must record a call at least every few tens of milliseconds; a longer gap counts as a stall.

use std::time::Duration;

use crate::clock::Timestamp;

/// Gap between two calls above which the process counts as stalled: five ticks.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Detects stalls from the gaps between the calls of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    called_at: Timestamp,
}

impl StallDetector {
    /// Records a call; returns the time since the previous one if the process was stalled in between.
    pub fn record_call(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.called_at);
        self.called_at = now;
        (gap > STALL_THRESHOLD).then_some(gap)
    }
}
