//! How an open wave goes on, for operators and log lines. Owns nothing; the holder fills it.

use std::time::Duration;

use crate::pace::WavePace;
use crate::wave::BoxName;

/// Why no further box goes down at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// As many are down as the pace or the order allow.
    EnoughDown,
    /// The list of boxes could not be read a moment ago.
    NoList,
    /// The pool of the next box is too busy to do without it, and the wave can still catch up.
    NoRoom,
    /// No box that waits is up and free to be called.
    NoneReady,
}

impl WaitReason {
    /// Returns the name that log lines and operators' answers use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EnoughDown => "EnoughDown",
            Self::NoList => "NoList",
            Self::NoRoom => "NoRoom",
            Self::NoneReady => "NoneReady",
        }
    }
}

/// How an open wave goes on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveStatus {
    /// How many boxes wait.
    pub waiting: usize,
    /// How many are down, may be, or are about to go.
    pub down: usize,
    /// How many may be down at once at present.
    pub at_once: u32,
    /// By how much the last box is expected to begin too late.
    pub late_by: Option<Duration>,
    /// The boxes that are being emptied.
    pub next: Vec<BoxName>,
    /// Why no further box goes down.
    pub waits: Option<WaitReason>,
}

impl WaveStatus {
    pub(crate) fn new(pace: WavePace, waiting: usize) -> Self {
        Self {
            waiting,
            at_once: pace.at_once,
            late_by: pace.late_by,
            ..Self::default()
        }
    }
}
