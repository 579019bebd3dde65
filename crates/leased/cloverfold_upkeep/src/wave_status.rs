//! Status of an open wave for operators and log lines, as set by the scheduler.

use std::time::Duration;

use crate::pace::WavePace;
use crate::wave::BoxName;

/// The reason why no further box goes down now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// As many boxes are down as the pace or the order allows.
    EnoughDown,
    /// There is no recent reading of the list of boxes.
    NoList,
    /// The pool of the next box is too busy to spare it, and the wave can still finish in time.
    NoRoom,
    /// No waiting box is up and may be called.
    NoneReady,
}

impl WaitReason {
    /// Returns the stable name used in log lines and answers to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::EnoughDown => "EnoughDown",
            Self::NoList => "NoList",
            Self::NoRoom => "NoRoom",
            Self::NoneReady => "NoneReady",
        }
    }
}

/// Status of an open wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WaveStatus {
    /// Number of boxes that wait for their upkeep.
    pub waiting: usize,
    /// Number of boxes that are or may be down, or are draining.
    pub unavailable: usize,
    /// How many boxes may currently be down at once.
    pub at_once: u32,
    /// Expected delay of the last box beyond the span.
    pub late_by: Option<Duration>,
    /// Boxes that are draining.
    pub draining: Vec<BoxName>,
    /// The reason why no further box goes down, if any.
    pub wait_reason: Option<WaitReason>,
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
