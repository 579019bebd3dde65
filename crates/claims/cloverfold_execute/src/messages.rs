//! Messages from a coordinator to the guard of a target.
//!
//! The postcard encoding depends on the order of fields and variants.

use cloverfold_base::UnixTime;
use cloverfold_claims_core::{
    GuardId, GuardReport, Incarnation, Placement, ReleaseResult, ServiceId, SubmissionKey, TaskEnd,
    TaskIndex, WorkspaceId,
};
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// One task of an assignment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AssignedTask {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// Request body for the target.
    pub payload: Vec<u8>,
    /// Guards that had the task before.
    pub previous_guards: Vec<GuardId>,
    /// Whether the guard may forward a task that would have to wait.
    pub may_pass_on: bool,
}

/// Assigns tasks of one job to a guard; a repeated assignment reports how known tasks ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assign {
    /// The addressed guard and its incarnation.
    pub place: Placement,
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Workspace that submitted.
    pub workspace: WorkspaceId,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// No task starts at or after this time.
    pub deadline: UnixTime,
    /// Until when the fence must keep entries for the tasks.
    pub keep_until: UnixTime,
    /// The tasks.
    pub tasks: Vec<AssignedTask>,
    /// The coordinator's newest report, included to save a message.
    pub guard_report: Option<GuardReport>,
}

impl Message for Assign {
    const KIND: u16 = 20;
    const NAME: &'static str = "assign";
    /// One or more replies, until every task has ended at the guard.
    type Reply = AssignReply;
}

/// End of one task at the guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// How the task ended.
    pub end: TaskEnd,
}

/// One of the replies to an [`Assign`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AssignReply {
    /// Tasks that ended since the previous reply.
    Ended {
        /// The ended tasks.
        reports: Vec<TaskReport>,
        /// The guard's newest report.
        guard_report: Option<GuardReport>,
    },
    /// The assignment was for another incarnation of the guard and had no effect.
    WrongIncarnation(Incarnation),
}

/// Asks a guard to release a task that has not started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// The addressed guard and its incarnation.
    pub place: Placement,
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// The next placement of the task; `None` abandons it.
    pub to: Option<Placement>,
    /// Until when the fence must keep an entry for the task.
    pub keep_until: UnixTime,
}

impl Message for Release {
    const KIND: u16 = 21;
    const NAME: &'static str = "release";
    type Reply = ReleaseReply;
}

/// The answer to a [`Release`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReleaseReply {
    /// Result of the release.
    pub verdict: ReleaseResult,
    /// The guard's newest report.
    pub guard_report: Option<GuardReport>,
}
