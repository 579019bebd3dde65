//! Detection and logging of process stalls.

use std::time::Duration;

use cloverfold_base::{StallDetector, Timestamp};

/// Detects and logs stalls of the process. Poll it before making decisions that depend on time.
#[derive(Debug, Default)]
pub struct StallMonitor {
    detector: StallDetector,
}

impl StallMonitor {
    /// Returns the duration of a stall since the last call; `None` if there was none.
    pub fn poll(&mut self, now: Timestamp) -> Option<Duration> {
        let stall = self.detector.poll(now)?;
        log::warn!(gap_ms = stall.as_millis() as u64; "process was stalled");
        Some(stall)
    }
}
