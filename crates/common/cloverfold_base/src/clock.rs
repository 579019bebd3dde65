//! The clock of a process and the wall clock.
//!
//! Code without I/O gets a [`Timestamp`] as an argument and reads no clock.

use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::system_clocks::read_boot_clock;

/// Wall-clock time as the duration since the Unix epoch.
pub type UnixTime = Duration;

/// Returns the wall-clock time; times before 1970 count as 1970.
pub fn unix_now() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// A point in time on the clock of one process, as the duration since that clock started.
///
/// Timestamps of different processes are not comparable. A timestamp is serialized as the duration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the point in time that is `duration` after the start of the clock.
    pub const fn from_start(duration: Duration) -> Self {
        Self(duration)
    }

    /// Returns the duration from the start of the clock to this point in time.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the duration from `earlier` to this point in time, or zero if `earlier` is later.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + duration)
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, duration: Duration) {
        self.0 += duration;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    /// # Panics
    ///
    /// Panics if the result is before the start of the clock.
    fn sub(self, duration: Duration) -> Self {
        Self(self.0 - duration)
    }
}

/// A monotonic clock that starts at its creation, usually the start of the process.
///
/// It includes the time for which the box is suspended, so that a lease or session does not outlive its expiry while its holder is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// Start time on the boot clock.
    started_at: Duration,
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self {
            started_at: read_boot_clock(),
        }
    }
}

impl ProcessClock {
    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_start(read_boot_clock().saturating_sub(self.started_at))
    }
}
