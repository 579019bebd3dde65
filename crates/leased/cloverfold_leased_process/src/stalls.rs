//! What a process does when it was stalled: it logs that.
//!
//! Owns the watch on the calls of the state. Relies on the state to look before it decides by time.

use std::time::Duration;

use cloverfold_base::{StallDetector, Timestamp};

/// Notices and logs the stalls of a process.
#[derive(Debug, Default)]
pub struct StallMonitor {
    watch: StallDetector,
}

impl StallMonitor {
    /// Returns for how long the process was stalled since the last call; `None` if it was not.
    pub fn poll(&mut self, now: Timestamp) -> Option<Duration> {
        let stall = self.watch.record_call(now)?;
        log::warn!(gap_ms = stall.as_millis() as u64; "the process stood still");
        Some(stall)
    }
}
