//! Actions that a driver requests from its process, and answers to callers.

use crate::calls::{CallRefusal, CallToken, JobAssignment, JobCallMessage};
use crate::commands::CancelOutcome;
use crate::ids::{Epoch, JobId};
use crate::job::JobPhase;

/// The control process through which a call is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallRoute {
    /// The control process that leads the group, if known. Any other control process forwards the call.
    pub leader: Option<String>,
    /// Number of earlier attempts. Selects another control process for each retry while no leader is known.
    pub attempt: u32,
}

/// The reason why a caller's call was refused. A refused call never takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalReason {
    /// This entry does not know the groups yet.
    NoGroups,
    /// This entry has no lease as a driver of the group.
    NoLease,
    /// The group's table is full.
    Full,
    /// Too many calls are pending at this entry.
    Busy,
    /// The group refused the call.
    ByGroup(CallRefusal),
}

impl RefusalReason {
    /// Returns the name used in log lines and answers.
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
    /// The job is stored, by this call or an earlier one.
    Kept,
    /// A job with this name and another digest is stored. The submitted job never runs.
    Conflict,
    /// The outcome of a cancellation.
    Cancelled(CancelOutcome),
    /// The phase of the job; `None` if the job is unknown.
    Shown(Option<JobPhase>),
    /// Number of jobs of the queue in the group that have not started.
    Pending(u64),
    /// The call was refused and never takes effect.
    Refused(RefusalReason),
    /// It is unknown whether the call took effect.
    Unknown,
}

/// An action that the caller of a [`Driver`](super::Driver) must carry out, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DriverAction {
    /// Send a call to a control process.
    Send(CallRoute, JobCallMessage),
    /// Start to drive a job.
    Drive(JobAssignment),
    /// Stop driving a job: withdraw its runs and discard its state.
    StopDriving {
        /// The job.
        job: JobId,
        /// The epoch in which it was driven.
        epoch: Epoch,
        /// The reason.
        cause: StopCause,
    },
    /// Answer the call with this token.
    Answer(CallToken, CallAnswer),
}

/// The reason why a job is no longer driven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The driver's lease has lapsed.
    Lapsed,
    /// The leader dropped the job: it has ended or is assigned to another driver.
    Dropped,
    /// The leader assigned the job to this driver again, in a later epoch.
    Replaced,
    /// This entry released the job.
    Released,
}

impl StopCause {
    /// Returns the name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Lapsed => "Lapsed",
            Self::Dropped => "Dropped",
            Self::Replaced => "Replaced",
            Self::Released => "Released",
        }
    }
}
