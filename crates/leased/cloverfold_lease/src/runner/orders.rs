//! What a runner says to its target, and what it hears from it.

use std::fmt;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::TaskId;
use crate::resources::Resources;
use crate::timings::TargetTime;

/// What a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetRegistration {
    /// This life of the target.
    pub incarnation: String,
    /// What it runs.
    pub service: String,
    /// Where its interface is reached.
    pub address: String,
    /// What it has in all.
    pub capacity: Resources,
    /// Its kind, its rack.
    pub labels: Vec<String>,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Its clock when it said so.
    pub clock: Option<TargetTime>,
    /// Rises with each registration of this life.
    pub sequence: u64,
}

/// Start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The life of the target that is meant.
    pub incarnation: String,
    /// Where it is reached.
    pub address: String,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u64,
    /// What to do.
    pub spec: String,
    /// The target refuses to start later than this, and prolongs its lease to it.
    pub deadline: TargetTime,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// How many times this start was sent, this one included.
    pub attempt: u32,
    /// How long its answer is waited for.
    pub limit: Duration,
}

/// Stop a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The life of the target that is meant.
    pub incarnation: String,
    /// Where it is reached.
    pub address: String,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u64,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// How long its answer is waited for.
    pub limit: Duration,
}

/// Renew the lease, note ends, and tell what runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalOrder {
    /// The life of the target that is meant.
    pub incarnation: String,
    /// Where it is reached.
    pub address: String,
    /// New end of the lease; none leaves it as it is.
    pub deadline: Option<TargetTime>,
    /// Refused if the target has seen a higher one.
    pub fencing_token: u64,
    /// The last end that was taken note of.
    pub last_acknowledged_end: u64,
    /// How long the answer may wait for an end.
    pub wait: Duration,
    /// How long the answer is waited for in all.
    pub limit: Duration,
    /// When it was sent.
    pub sent_at: Timestamp,
}

/// Why a target did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// It has seen this run or a later one end.
    Stale,
    /// The deadline is over.
    Late,
    /// It has no room.
    NoRoom,
    /// It can't work at present and has done nothing.
    Unhealthy,
    /// There was no connection to it, so it has not received the order.
    Unreachable,
    /// Another life of the target answered.
    OtherIncarnation,
    /// It takes the order for invalid.
    Invalid,
}

impl StartRefusal {
    /// Returns the name by which logs and answers call it; it is part of the outside interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Fenced => "Fenced",
            Self::Stale => "Stale",
            Self::Late => "Late",
            Self::NoRoom => "NoRoom",
            Self::Unhealthy => "Unhealthy",
            Self::Unreachable => "Unreachable",
            Self::OtherIncarnation => "OtherInstance",
            Self::Invalid => "Invalid",
        }
    }
}

/// What became of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started {
        /// The target's clock.
        clock: TargetTime,
    },
    /// The run was not started by this order.
    Refused(StartRefusal, Option<TargetTime>),
    /// No answer came; the order may still be carried out.
    Unanswered,
}

impl StartAnswer {
    /// Returns the target's clock, where the answer tells it.
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

/// A run at the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u64,
    /// How much of its work is done, in percent, where the target tells it.
    pub progress: Option<u8>,
}

/// How the target says that a run ended.
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

/// A run that is over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end in this life of the target.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: u64,
    /// How.
    pub cause: EndCause,
}

/// The answer to a hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewalAnswer {
    /// What runs and what has ended.
    Listed {
        /// The target's clock.
        clock: TargetTime,
        /// What runs.
        running: Vec<ListedRun>,
        /// What has ended and was not taken note of, in order of number.
        ended: Vec<EndedRun>,
    },
    /// It has seen a higher fencing token.
    Fenced,
    /// Another life of the target answered.
    OtherIncarnation,
    /// No usable answer came.
    Unanswered,
}
