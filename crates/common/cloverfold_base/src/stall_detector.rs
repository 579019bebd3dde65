//! Notices that the process was stalled: frozen, or starved of processor time.
//!
//! Owns the time of the newest call. Relies on the process to record each of its calls, and to be called at least every few tens of
//! milliseconds.

use std::time::Duration;

use crate::clock::Timestamp;

/// A gap between two calls of a process from which it counts as stalled: five of its ticks.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Watches the gaps between the calls of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StallDetector {
    called_at: Timestamp,
}

impl StallDetector {
    /// Records a call; returns the time since the one before if the process was stalled in between.
    pub fn record_call(&mut self, now: Timestamp) -> Option<Duration> {
        let gap = now.saturating_duration_since(self.called_at);
        self.called_at = now;
        (gap > STALL_THRESHOLD).then_some(gap)
    }
}
