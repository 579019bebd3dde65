//! What a runner learns from its target: registrations and answers to orders.
//!
//! Separates the decisions from the package that speaks to targets, which owns the wire format. Owns no state.

use std::fmt;

use crate::messages::TaskId;
use crate::resources::Resources;
use crate::runner::incarnation_id::{IncarnationId, StartTimeMs};
use crate::timings::TargetTime;

/// What a target reports of itself when it registers, and again at intervals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// The incarnation of the target that reports.
    pub incarnation: IncarnationId,
    /// Name of the service whose tasks it runs.
    pub service: String,
    /// Host and port at which it takes orders.
    pub address: String,
    /// Its whole capacity.
    pub capacity: Resources,
    /// Labels that a step may require or prefer, such as its kind or rack.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Its clock when it sent this, in milliseconds.
    pub clock: Option<TargetTime>,
    /// Rises with each registration of this incarnation.
    pub sequence: u64,
}

/// Why a target did not start a run by the order that it answers. An earlier order may still have an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has seen this run or a later one end.
    Stale,
    /// Its clock was past the deadline of the order.
    Late,
    /// It has no free capacity. Written `NoRoom`.
    NoCapacity,
    /// It can't work at present and has done nothing.
    Unhealthy,
    /// There was no connection to it, so it has not received the order.
    Unreachable,
    /// Another incarnation of the target answered. Written `OtherInstance`.
    OtherIncarnation,
    /// It considers the order invalid.
    Invalid,
}

impl StartRefusal {
    /// Returns the name by which logs and answers call it; it is part of the outside interface.
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

/// The answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started {
        /// The target's clock, in milliseconds.
        clock: TargetTime,
    },
    /// The run was not started by this order; with the target's clock in milliseconds, if the answer contains it.
    Refused(StartRefusal, Option<TargetTime>),
    /// No answer came; the order may still be carried out.
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
    /// Writes the text by which logs call it; it is part of the outside interface.
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
    /// How much of its work is done, in percent; none if the target does not report it.
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
    /// Its lease lapsed, or it could not go on for another reason that is not its own.
    Lapsed,
}

/// A run that the target lists as over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end; rises within an incarnation of the target.
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
    /// What runs and what has ended.
    Listed {
        /// When the incarnation started that answers; `None` if it does not tell.
        start_time: Option<StartTimeMs>,
        /// The target's clock, in milliseconds.
        clock: TargetTime,
        /// All that runs there, whoever started it.
        running: Vec<ListedRun>,
        /// What has ended and was not acknowledged, in order of number.
        ended: Vec<EndedRun>,
    },
    /// It has seen a higher fencing token.
    Fenced,
    /// Another incarnation of the target answered.
    OtherIncarnation,
    /// No usable answer came.
    Unanswered,
}
