//! Messages of entries and guards to a group, and its replies.
//!
//! A call may be sent to any control process, which forwards it to the leader of the group. Calls are idempotent, so they may be
//! repeated; a call without a reply may have taken effect. Messages are encoded with postcard: the order of fields and variants must
//! not change.

use serde::{Deserialize, Serialize};

use crate::commands::{CancelOutcome, EndDecision, JobSubmission, SubmitOutcome, TaskEnd};
use crate::groups::GroupId;
use crate::ids::{DriverId, Epoch, JobId, TaskIndex};
use crate::job::{JobPhase, TaskProgress};

/// Identifier of a call, chosen by the sender and echoed in the reply. 0 marks an unsolicited reply.
pub type CallToken = u64;

/// A job that an entry reports as driven.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrivenJob {
    /// The job.
    pub job: JobId,
    /// The epoch in which the entry drives the job.
    pub epoch: Epoch,
    /// Whether a task has started.
    pub has_begun: bool,
}

/// Renews a driver's lease and reports the jobs that it drives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The driver. A new driver of an entry implies that the entry's earlier driver drives nothing.
    pub driver: DriverId,
    /// Name of the driver's entry.
    pub entry: String,
    /// Whether it accepts new jobs. A draining entry does not.
    pub takes_jobs: bool,
    /// All jobs of the group that it drives, including finished jobs that the leader has not told it to drop.
    pub driving: Vec<DrivenJob>,
}

/// A job that a driver releases before its lease expires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedJob {
    /// The job.
    pub job: JobId,
    /// The epoch in which the driver drove the job.
    pub epoch: Epoch,
    /// Whether all runs of the job have certainly ended.
    pub is_clean: bool,
}

/// A request of an entry or guard to a group. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    /// Submit a job.
    Submit(JobSubmission),
    /// Record the ends of runs.
    RecordEnds(Vec<TaskEnd>),
    /// Cancel a job.
    Cancel(JobId),
    /// Get the phase of a job.
    Show(JobId),
    /// Count the jobs of a queue that have not started.
    CountPending(String),
    /// Renew a driver's lease.
    Renew(Renewal),
    /// Release jobs.
    Release {
        /// The driver that releases them.
        driver: DriverId,
        /// The jobs.
        jobs: Vec<ReleasedJob>,
    },
}

/// A call to a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobCallMessage {
    /// Identifier of the call.
    pub token: CallToken,
    /// The group.
    pub group: GroupId,
    /// The call.
    pub call: JobCall,
}

/// Assigns a job to a driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAssignment {
    /// The job.
    pub job: JobId,
    /// The epoch in which the driver drives the job.
    pub epoch: Epoch,
    /// The body of the submission.
    pub body: Vec<u8>,
    /// Progress of the tasks that have a recorded run end.
    pub progress: Vec<(TaskIndex, TaskProgress)>,
}

/// The reply to a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The addressed driver; any other ignores the reply.
    pub driver: DriverId,
    /// Jobs that are assigned to the driver and that it did not report.
    pub drive: Vec<JobAssignment>,
    /// Jobs that it reported and must drop, with the reported epoch: they have ended or are assigned to another driver.
    pub drop: Vec<(JobId, Epoch)>,
}

/// The reason why a group refused a call. A refused call never takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CallRefusal {
    /// The group has no known leader, or the leader has lost its quorum, or it was elected too recently to know the answer.
    NoLeader,
    /// Disk writes fail, or are too slow to accept new jobs.
    Disk,
    /// Too many calls are pending.
    Busy,
    /// The group does not exist.
    UnknownGroup,
}

impl CallRefusal {
    /// Returns the name used in log lines and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoLeader => "NoLeader",
            Self::Disk => "Disk",
            Self::Busy => "Busy",
            Self::UnknownGroup => "UnknownGroup",
        }
    }
}

/// The reply to a call. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// Reply to [`JobCall::Submit`].
    Submitted(SubmitOutcome),
    /// Reply to [`JobCall::RecordEnds`], with one decision for each end, in order.
    EndsRecorded(Vec<EndDecision>),
    /// Reply to [`JobCall::Cancel`].
    Cancelled(CancelOutcome),
    /// Reply to [`JobCall::Show`]; `None` if the job is unknown.
    Shown(Option<JobPhase>),
    /// Reply to [`JobCall::CountPending`].
    Pending(u64),
    /// Reply to [`JobCall::Renew`]. It proves that the sender still led the group when it received the renewal. Also sent unsolicited,
    /// with token 0 and without that proof, when a driver gains or loses a job.
    Renewed(RenewalReply),
    /// Reply to [`JobCall::Release`].
    Released,
    /// Reply to any call that was refused and has no effect.
    Refused(CallRefusal),
}

/// A reply of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReplyMessage {
    /// Identifier of the call, or 0 if unsolicited.
    pub token: CallToken,
    /// The group.
    pub group: GroupId,
    /// Name of the control process that leads the group, if known. Later calls are sent there first.
    pub leader: Option<String>,
    /// The reply.
    pub reply: JobReply,
}
