//! System clocks. On systems without a boot clock the monotonic clock replaces it; see [`has_boot_clock`].

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Clock that includes the time for which the box is suspended.
#[cfg(any(target_os = "linux", target_os = "android"))]
const BOOT_CLOCK: ClockId = ClockId::CLOCK_BOOTTIME;
/// Other systems have no separate clock that includes suspensions.
#[cfg(not(any(target_os = "linux", target_os = "android")))]
const BOOT_CLOCK: ClockId = ClockId::CLOCK_MONOTONIC;

/// Returns whether the system has a clock that includes the time for which the box is suspended.
pub fn has_boot_clock() -> bool {
    BOOT_CLOCK != ClockId::CLOCK_MONOTONIC && clock_gettime(BOOT_CLOCK).is_ok()
}

/// Returns the time since the box started, including suspensions.
pub(crate) fn read_boot_clock() -> Duration {
    read(BOOT_CLOCK).unwrap_or_else(read_monotonic_clock)
}

/// Returns the time since the box started, excluding suspensions.
pub(crate) fn read_monotonic_clock() -> Duration {
    // Every system has this clock.
    read(ClockId::CLOCK_MONOTONIC).unwrap_or_default()
}

fn read(clock: ClockId) -> Option<Duration> {
    clock_gettime(clock).ok().map(Duration::from)
}
