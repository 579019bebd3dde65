//! What a driver asks of the process around it, and how it answers callers.

use crate::calls::{CallRefusal, CallToken, JobAssignment, JobCallMessage};
use crate::commands::CancelOutcome;
use crate::ids::{Epoch, JobId};
use crate::job::JobPhase;

/// Over which control process a call goes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallRoute {
    /// The control process that leads the group as far as is known; any other passes the call on.
    pub leader: Option<String>,
    /// Rises with each repeat, so that each goes over another control process while no leader is known.
    pub attempt: u32,
}

/// Why a caller's call had no effect and never will have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// The groups are not known here yet.
    NoGroups,
    /// This entry has no lease as a driver of the group.
    NoLease,
    /// The group has no room for a job.
    Full,
    /// More calls wait here than may.
    Busy,
    /// The group refused it.
    ByGroup(CallRefusal),
}

impl RefusalReason {
    /// Returns the name by which logs and answers call it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoGroups => "NoGroups",
            Self::NoLease => "NoLease",
            Self::Full => "Full",
            Self::Busy => "Busy",
            Self::ByGroup(refusal) => refusal.as_str(),
        }
    }
}

/// The answer to a caller's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// The job is kept, by this call or before.
    Kept,
    /// Another job of this name is kept; this one is not and never runs.
    Conflict,
    /// What became of a cancellation.
    Cancelled(CancelOutcome),
    /// How far the job is; `None` if there is no such job.
    Shown(Option<JobPhase>),
    /// How many jobs of the queue have not begun in the group.
    Pending(u64),
    /// The call had no effect and never will have.
    Refused(RefusalReason),
    /// Whether the call had an effect is not known.
    Unknown,
}

/// What the process around a driver has to do, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DriverAction {
    /// Send a call to a control process.
    Send(CallRoute, JobCallMessage),
    /// Drive this job from now on.
    Drive(JobAssignment),
    /// Drive this job no more: withdraw its runs and forget it.
    StopDriving {
        /// The job.
        job: JobId,
        /// The epoch in which it was driven.
        epoch: Epoch,
        /// Why.
        cause: StopCause,
    },
    /// Answer the call of this number.
    Answer(CallToken, CallAnswer),
}

/// Why a job is driven no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The lease of the driver has lapsed.
    Lapsed,
    /// The leader says so: the job is over or another driver's.
    Dropped,
    /// The leader gave it to this driver anew, in a later epoch.
    Replaced,
    /// It was released.
    Released,
}

impl StopCause {
    /// Returns the name by which logs call it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lapsed => "Lapsed",
            Self::Dropped => "Dropped",
            Self::Replaced => "Replaced",
            Self::Released => "Released",
        }
    }
}
