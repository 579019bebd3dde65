//! What a process does when its box was suspended: it logs that and counts it.
//!
//! Owns the watch on the clocks. Relies on the state of the process to look before it decides by time.

use std::time::Duration;

use cloverfold_base::{SuspensionDetector, has_boot_clock};

/// The suspensions of the box that a process has noticed.
#[derive(Debug)]
pub struct SuspensionMonitor {
    watch: SuspensionDetector,
    detected_count: u64,
}

impl Default for SuspensionMonitor {
    /// Begins to watch; logs if the system has no clock that would show a suspension.
    fn default() -> Self {
        if !has_boot_clock() {
            log::warn!(
                "the system has no boot clock: time for which the box is suspended is not counted"
            );
        }
        Self {
            watch: SuspensionDetector::default(),
            detected_count: 0,
        }
    }
}

impl SuspensionMonitor {
    /// Returns for how long the box was suspended since the last call, at the least; `None` if it was not.
    pub fn poll(&mut self) -> Option<Duration> {
        let span = self.watch.poll()?;
        self.detected_count += 1;
        log::warn!(suspended_ms = span.as_millis() as u64; "the box was suspended");
        Some(span)
    }

    /// Returns how many were noticed since the start.
    pub fn detected_count(&self) -> u64 {
        self.detected_count
    }
}
