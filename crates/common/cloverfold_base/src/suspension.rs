//! How long the box was suspended, read off two clocks of the system.
//!
//! Owns how much of the difference between them is accounted for ([`SuspensionDetector`]). Relies on the steady clock standing still while the
//! box is suspended, and on the boot clock going on.

use std::time::Duration;

use crate::system_clocks::{read_boot_clock, read_steady_clock};

/// Shorter suspensions are not reported: they are no longer than a delay that any busy box has.
const SHORTEST_SUSPENSION: Duration = Duration::from_millis(10);

/// How far the boot clock is ahead of the steady one. The clocks can't be read at the same instant, so that only bounds are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockOffset {
    /// It is no less.
    pub lower_bound: Duration,
    /// It is no more.
    pub upper_bound: Duration,
}

impl ClockOffset {
    /// Reads both clocks.
    fn read() -> Self {
        let before = read_steady_clock();
        let boot = read_boot_clock();
        let after = read_steady_clock();
        Self {
            lower_bound: boot.saturating_sub(after),
            upper_bound: boot.saturating_sub(before),
        }
    }
}

/// Notices that the box was suspended.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionDetector {
    /// The lead of the boot clock that no longer counts as news; the true one is no less unless it has grown since.
    accounted: Duration,
}

impl Default for SuspensionDetector {
    fn default() -> Self {
        Self::new(ClockOffset::read())
    }
}

impl SuspensionDetector {
    /// Begins with what the clocks say now.
    pub const fn new(lead: ClockOffset) -> Self {
        Self {
            accounted: lead.upper_bound,
        }
    }

    /// Reads the clocks; returns for how long the box was suspended since the last call, at the least. `None` if it was not.
    pub fn poll(&mut self) -> Option<Duration> {
        self.observe(ClockOffset::read())
    }

    /// Compares a reading with what is accounted for; returns as [`Self::poll`] does. What a blurred reading hides, a later one shows.
    pub fn observe(&mut self, lead: ClockOffset) -> Option<Duration> {
        let span = lead.lower_bound.saturating_sub(self.accounted);
        if span < SHORTEST_SUSPENSION {
            self.accounted = self.accounted.min(lead.upper_bound);
            return None;
        }
        self.accounted = lead.lower_bound;
        Some(span)
    }
}
