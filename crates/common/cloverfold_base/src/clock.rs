//! The clock of a process and the wall clock.
//!
//! [`ProcessClock`] owns the point in time at which the process started; it relies on the system's boot clock. Code that decides
//! without I/O gets a [`Timestamp`] as an argument and reads no clock.

use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::system_clocks::read_boot_clock;

/// Wall-clock time as the span since the Unix epoch.
pub type UnixTime = Duration;

/// Returns the wall-clock time; a clock before 1970 counts as 1970.
pub fn unix_now() -> UnixTime {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// A point in time on one process's clock, as the span since that clock started.
///
/// Timestamps of different processes can't be compared. On the wire a timestamp is the span alone.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(Duration);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the point in time that lies `span` after the start of the clock.
    pub const fn from_start(span: Duration) -> Self {
        Self(span)
    }

    /// Returns the span from the start of the clock to this point in time.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the span from `earlier` to this point in time, zero if `earlier` is the later one.
    pub const fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + span)
    }
}

impl AddAssign<Duration> for Timestamp {
    fn add_assign(&mut self, span: Duration) {
        self.0 += span;
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    /// # Panics
    ///
    /// If the result lies before the start of the clock.
    fn sub(self, span: Duration) -> Self {
        Self(self.0 - span)
    }
}

/// A clock that measures from its creation, usually the start of the process, and never goes back.
///
/// It counts the time for which the box is suspended: a right that is held until some point in time, such as a lease or a session, must
/// not outlive that time because its holder was suspended.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    /// On the boot clock.
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
    /// Returns the present point in time.
    pub fn now(&self) -> Timestamp {
        Timestamp::from_start(read_boot_clock().saturating_sub(self.started_at))
    }
}
