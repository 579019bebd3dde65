//! Detection, logging and counting of box suspensions.

use std::time::Duration;

use cloverfold_base::{SuspensionDetector, has_boot_clock};

/// Detects, logs and counts suspensions of the box. Poll it before making decisions that depend on time.
#[derive(Debug)]
pub struct SuspensionMonitor {
    detector: SuspensionDetector,
    detected_count: u64,
}

impl Default for SuspensionMonitor {
    /// Creates the monitor; logs a warning if the system has no clock that shows suspensions.
    fn default() -> Self {
        if !has_boot_clock() {
            log::warn!("the system has no boot clock; suspensions of the box go undetected");
        }
        Self {
            detector: SuspensionDetector::default(),
            detected_count: 0,
        }
    }
}

impl SuspensionMonitor {
    /// Returns a lower bound of the time for which the box was suspended since the last call; `None` if there was no suspension.
    pub fn poll(&mut self) -> Option<Duration> {
        let duration = self.detector.poll()?;
        self.detected_count += 1;
        log::warn!(suspended_ms = duration.as_millis() as u64; "box was suspended");
        Some(duration)
    }

    /// Returns the number of suspensions since the start.
    pub fn detected_count(&self) -> u64 {
        self.detected_count
    }
}
