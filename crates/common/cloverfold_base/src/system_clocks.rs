//! The clocks of the system, read through the C library.
//!
//! Owns nothing. Where the system has no boot clock the steady one takes its place; [`has_boot_clock`] tells.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// The clock that goes on while the box is suspended.
#[cfg(any(target_os = "linux", target_os = "android"))]
const BOOT_CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// Other systems have no such clock under a name of its own.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const BOOT_CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Returns whether the system has a clock that goes on while the box is suspended.
pub fn has_boot_clock() -> bool {
    BOOT_CLOCK != ClockId::CLOCK_MONOTONIC && clock_gettime(BOOT_CLOCK).is_ok()
}

/// Returns the time since the box started, that for which it was suspended included.
pub(crate) fn read_boot_clock() -> Duration {
    read(BOOT_CLOCK).unwrap_or_else(read_steady_clock)
}

/// Returns the time since the box started, without that for which it was suspended.
pub(crate) fn read_steady_clock() -> Duration {
    // Every system has this clock.
    read(ClockId::CLOCK_MONOTONIC).unwrap_or_default()
}

fn read(clock: ClockId) -> Option<Duration> {
    clock_gettime(clock).ok().map(Duration::from)
}
