//! Detection of box suspensions from two system clocks.
//!
//! The monotonic clock stops while the box is suspended and the boot clock does not, so a suspension increases the offset between them.

use std::time::Duration;

use crate::system_clocks::{read_boot_clock, read_monotonic_clock};

/// Minimum duration of a reported suspension; shorter ones are no worse than ordinary scheduling delays.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Bounds of the offset of the boot clock from the monotonic clock. The exact offset is unknown, because the clocks cannot be read at the
/// same instant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// Lower bound of the offset.
    pub lower_bound: Duration,
    /// Upper bound of the offset.
    pub upper_bound: Duration,
}

impl ClockOffset {
    fn read() -> Self {
        let before = read_monotonic_clock();
        let boot = read_boot_clock();
        let after = read_monotonic_clock();
        Self {
            lower_bound: boot.saturating_sub(after),
            upper_bound: boot.saturating_sub(before),
        }
    }
}

/// Detects suspensions of the box.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    /// Offset that is already accounted for. A larger offset means that a suspension has occurred since.
    accounted_offset: Duration,
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self::new(ClockOffset::read())
    }
}

impl SuspensionDetector {
    /// Creates a detector that reports suspensions after the reading `offset`.
    pub const fn new(offset: ClockOffset) -> Self {
        Self {
            accounted_offset: offset.upper_bound,
        }
    }

    /// Reads the clocks; returns a lower bound of the time for which the box was suspended since the last call. `None` if there was no
    /// suspension.
    pub fn poll(&mut self) -> Option<Duration> {
        self.observe(ClockOffset::read())
    }

    /// Evaluates a reading; returns the same as [`Self::poll`]. A suspension that an imprecise reading hides shows in a later one.
    pub fn observe(&mut self, offset: ClockOffset) -> Option<Duration> {
        let duration = offset.lower_bound.saturating_sub(self.accounted_offset);
        if duration < MIN_SUSPENSION {
            self.accounted_offset = self.accounted_offset.min(offset.upper_bound);
            return None;
        }
        self.accounted_offset = offset.lower_bound;
        Some(duration)
    }
}
