//! Registrations of a target and its answers to orders.
//!
//! They are independent of the wire format, which the package that calls targets owns.

use std::fmt;

use crate::messages::TaskId;
use crate::resources::Resources;
use crate::runner::incarnation_id::{IncarnationId, StartTimeMs};
use crate::timings::TargetTime;

/// State that a target reports when it registers, and again at intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// The reporting incarnation.
    pub incarnation: IncarnationId,
    /// Name of the service whose tasks it executes.
    pub service: String,
    /// Host and port for orders.
    pub address: String,
    /// Its total capacity.
    pub capacity: Resources,
    /// Labels that a step may require or prefer, such as its kind or rack.
    pub labels: Vec<String>,
    /// Whether it drains before a planned end.
    pub is_draining: bool,
    /// Reading of its monotonic clock when it sent this, in milliseconds.
    pub clock: Option<TargetTime>,
    /// Increases with each registration of this incarnation.
    pub sequence: u64,
}

/// Why a target refused a start order. An earlier order for the same run may still take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run or a later run of its task has already ended there.
    Stale,
    /// The deadline of the order has passed on its clock.
    Late,
    /// It has no free capacity. Written `NoRoom`.
    NoCapacity,
    /// It cannot work at present; the order had no effect.
    Unhealthy,
    /// No connection could be opened, so it has not received the order.
    Unreachable,
    /// Another incarnation of the target answered. Written `OtherInstance`.
    OtherIncarnation,
    /// It rejects the order as invalid.
    Invalid,
}

impl StartRefusal {
    /// Returns the stable name that is used in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "Fenced",
            Self::Stale => "Stale",
            Self::Late => "Late",
            Self::NoCapacity => "NoRoom",
            Self::Unhealthy => "Unhealthy",
            Self::Unreachable => "Unreachable",
            Self::OtherIncarnation => "OtherInstance",
            Self::Invalid => "Invalid",
        }
    }
}

/// The answer to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The target has the run.
    Started {
        /// The target's clock, in milliseconds.
        clock: TargetTime,
    },
    /// The order did not start the run; with the target's clock in milliseconds, if the answer contains it.
    Refused(StartRefusal, Option<TargetTime>),
    /// No answer arrived; the order may still be executed.
    Unanswered,
}

impl StartAnswer {
    /// Returns the target's clock, if the answer contains it.
    pub(super) fn clock(&self) -> Option<TargetTime> {
        match self {
            Self::Started { clock } => Some(*clock),
            Self::Refused(_, clock) => *clock,
            Self::Unanswered => None,
        }
    }
}

impl fmt::Display for StartAnswer {
    /// Writes the stable text that is used in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started { clock } => write!(f, "Started {{ clock: {clock} }}"),
            Self::Refused(refusal, Some(clock)) => {
                write!(f, "Refused({}, Some({clock}))", refusal.as_str())
            }
            Self::Refused(refusal, None) => write!(f, "Refused({}, None)", refusal.as_str()),
            Self::Unanswered => f.write_str("Unanswered"),
        }
    }
}

/// A run that the target lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How much of its work is done, in percent; `None` if the target does not report it.
    pub progress: Option<u8>,
}

/// How a run ended, as the target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// Its work is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed, or it could not go on for another reason outside the run.
    Lapsed,
}

/// A run that the target lists as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end; increases within an incarnation of the target.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub cause: EndCause,
}

/// The answer to a renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewalAnswer {
    /// The running and ended runs.
    Listed {
        /// When the answering incarnation started; `None` if the target does not report it.
        start_time: Option<StartTimeMs>,
        /// The target's clock, in milliseconds.
        clock: TargetTime,
        /// All runs at the target, whoever started them.
        running: Vec<ListedRun>,
        /// Ends that are not acknowledged yet, in order of number.
        ended: Vec<EndedRun>,
    },
    /// It has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the target answered.
    OtherIncarnation,
    /// No usable answer arrived.
    Unanswered,
}
