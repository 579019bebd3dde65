//! Calls of entries and guards to a group, and its replies.
//!
//! A call goes to any control process, which passes it to the leader of the group. It may be repeated: every call has the same effect
//! however often it comes. A call without a reply may have had its effect. The bytes are postcard's: the order never changes.

use serde::{Deserialize, Serialize};

use crate::commands::{CancelOutcome, EndDecision, JobSubmission, SubmitOutcome, TaskEnd};
use crate::groups::GroupId;
use crate::ids::{DriverId, Epoch, JobId, TaskIndex};
use crate::job::{JobPhase, TaskProgress};

/// Number of a call, chosen by its sender; the reply echoes it. 0 is that of a reply to no call.
pub type CallToken = u64;

/// A job that an entry drives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrivenJob {
    /// The job.
    pub job: JobId,
    /// The epoch in which it drives it.
    pub epoch: Epoch,
    /// Whether a task has begun.
    pub has_begun: bool,
}

/// An entry renews its lease as a driver and says what it drives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The driver. One that comes from the same entry as an earlier one says that the earlier one drives nothing any more.
    pub driver: DriverId,
    /// Name of the entry.
    pub entry: String,
    /// Whether it takes further jobs; one that stops does not.
    pub takes_jobs: bool,
    /// All jobs of the group that it drives, finished ones included until it is told to drop them.
    pub driving: Vec<DrivenJob>,
}

/// A job that a driver gives back before its lease is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedJob {
    /// The job.
    pub job: JobId,
    /// The epoch in which it drove it.
    pub epoch: Epoch,
    /// Whether no run of it is left that is not certainly over.
    pub is_clean: bool,
}

/// What an entry or guard wants of a group. The order of the variants is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    /// Keep a job.
    Submit(JobSubmission),
    /// Record ends of runs.
    RecordEnds(Vec<TaskEnd>),
    /// Cancel a job.
    Cancel(JobId),
    /// How far is this job?
    Show(JobId),
    /// How many jobs of this queue have not begun?
    CountPending(String),
    /// Renew the lease of a driver.
    Renew(Renewal),
    /// Give jobs back.
    Release {
        /// Who drove them.
        driver: DriverId,
        /// The jobs.
        jobs: Vec<ReleasedJob>,
    },
}

/// A call on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCallMessage {
    /// Its number.
    pub token: CallToken,
    /// The group.
    pub group: GroupId,
    /// The call.
    pub call: JobCall,
}

/// Makes an entry drive a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAssignment {
    /// The job.
    pub job: JobId,
    /// The epoch in which it drives it.
    pub epoch: Epoch,
    /// The body of the submission.
    pub body: Vec<u8>,
    /// What is recorded of its tasks; those without a recorded end are left out.
    pub progress: Vec<(TaskIndex, TaskProgress)>,
}

/// What a driver is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The driver that is meant; another one ignores it.
    pub driver: DriverId,
    /// Jobs that it has to drive and did not name.
    pub drive: Vec<JobAssignment>,
    /// Jobs that it named and must not drive any more, with the epoch that it named: they are over or another entry's.
    pub drop: Vec<(JobId, Epoch)>,
}

/// Why a call had no effect and never will have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallRefusal {
    /// No leader of the group is known, or it is out of touch with the majority.
    NoLeader,
    /// The disk refuses writes, or is too slow for new jobs.
    Disk,
    /// More calls wait than may.
    Busy,
    /// The installation has no such group.
    UnknownGroup,
}

impl CallRefusal {
    /// Returns the name by which logs and answers call it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoLeader => "NoLeader",
            Self::Disk => "Disk",
            Self::Busy => "Busy",
            Self::UnknownGroup => "UnknownGroup",
        }
    }
}

/// The reply to a call. The order of the variants is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// To [`JobCall::Submit`].
    Submitted(SubmitOutcome),
    /// To [`JobCall::RecordEnds`], one for each end, in order.
    EndsRecorded(Vec<EndDecision>),
    /// To [`JobCall::Cancel`].
    Cancelled(CancelOutcome),
    /// To [`JobCall::Show`]; `None` if there is no such job.
    Shown(Option<JobPhase>),
    /// To [`JobCall::CountPending`].
    Pending(u64),
    /// To [`JobCall::Renew`], with the proof that the group was still led by the sender when it came; also sent unasked, with token 0
    /// and without that proof, when a driver is given a job or loses one.
    Renewed(RenewalReply),
    /// To [`JobCall::Release`].
    Released,
    /// To any call: it had no effect.
    Refused(CallRefusal),
}

/// A reply on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReplyMessage {
    /// As in the call.
    pub token: CallToken,
    /// The group.
    pub group: GroupId,
    /// Name of the control process that leads the group, if the sender knows it: further calls are best sent there.
    pub leader: Option<String>,
    /// The reply.
    pub reply: JobReply,
}
