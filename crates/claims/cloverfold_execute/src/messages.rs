//! Messages from a coordinator to the guard of a target.
//!
//! Encoded with postcard, by the order of fields and variants.

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
    /// What the target is given.
    pub payload: Vec<u8>,
    /// Guards that had the task before.
    pub previous_guards: Vec<GuardId>,
    /// Whether the guard may pass the task on rather than let it wait.
    pub may_pass_on: bool,
}

/// Assigns tasks of one job to a guard, or asks again for their ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Assign {
    /// The guard and its incarnation that is meant.
    pub place: Placement,
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Workspace that submitted.
    pub workspace: WorkspaceId,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// No start at or after this time.
    pub deadline: UnixTime,
    /// Until when the fence must remember the tasks.
    pub keep_until: UnixTime,
    /// The tasks.
    pub tasks: Vec<AssignedTask>,
    /// The coordinator's newest report, sent along to save a message.
    pub guard_report: Option<GuardReport>,
}

impl Message for Assign {
    const KIND: u16 = 20;
    const NAME: &'static str = "assign";
    /// Several replies, until every task has ended here.
    type Reply = AssignReply;
}

/// How one task ended at the guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// How it ended here.
    pub end: TaskEnd,
}

/// One of the replies to an [`Assign`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AssignReply {
    /// Tasks that ended since the reply before, and the guard's load now.
    Ended {
        /// The tasks.
        reports: Vec<TaskReport>,
        /// The guard's newest report.
        guard_report: Option<GuardReport>,
    },
    /// The assignment was meant for another incarnation of the guard; nothing was done.
    WrongIncarnation(Incarnation),
}

/// Asks a guard to release a task that has not started.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Release {
    /// The guard and its incarnation that is meant.
    pub place: Placement,
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Index of the task in the job.
    pub index: TaskIndex,
    /// Where the task goes; `None` gives it up.
    pub to: Option<Placement>,
    /// Until when the fence must remember the task.
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
    /// The verdict.
    pub verdict: ReleaseResult,
    /// The guard's newest report.
    pub guard_report: Option<GuardReport>,
}
