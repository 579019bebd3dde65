//! What the log of a group holds, and what became of it.
//!
//! The bytes are postcard's, on disk and on the wire: the order of fields and variants never changes.

use serde::{Deserialize, Serialize};

use crate::ids::{DriverId, EndSequence, Epoch, JobDigest, JobId, TaskIndex};
use crate::job::TerminalState;

/// A job as its entry submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// The caller's name for it.
    pub id: JobId,
    /// The queue that it came through.
    pub queue: String,
    /// Hash of what the caller sent.
    pub digest: JobDigest,
    /// What the entry needs to drive it; opaque here.
    pub body: Vec<u8>,
    /// How many tasks it has.
    pub tasks: TaskIndex,
    /// Ends `Failed` of one task after which the job has failed.
    pub max_attempts: u32,
    /// The entry that submits it, and drives it first.
    pub driver: DriverId,
}

/// How a run of a task ended, as far as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndOutcome {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the target's.
    Failed,
}

/// The end of a run of a task, recorded by the guard that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The job.
    pub job: JobId,
    /// The epoch of the driver that ordered the run.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskIndex,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub outcome: EndOutcome,
}

/// Gives a job to another driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReassignment {
    /// The job.
    pub job: JobId,
    /// The epoch that ends; the new driver's is the next one.
    pub after: Epoch,
    /// The new driver.
    pub driver: DriverId,
}

/// One change of the table. The order of the variants is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Keep a job.
    Submit(JobSubmission),
    /// Record ends of runs.
    RecordEnds(Vec<TaskEnd>),
    /// End a job.
    Cancel(JobId),
    /// Give jobs to other drivers; proposed by the leader alone.
    Assign(Vec<JobReassignment>),
    /// Forget the jobs that ended up to this one; proposed by the leader alone.
    Expire(EndSequence),
}

/// What became of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The job is kept; its entry drives it in this epoch.
    Accepted(Epoch),
    /// The same job is kept already.
    Known,
    /// Another job of this name is kept; this one is not and never runs.
    Conflict,
    /// There is no room for it: it is not kept and never runs.
    Full,
}

/// What became of the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndDecision {
    /// It is recorded, now or before.
    Recorded,
    /// The job is over and had no later driver: the end changes nothing any more.
    JobOver,
    /// The job has or had a later driver, which may have begun the task anew, or is forgotten: the end must never count.
    Fenced,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The job is cancelled, now or before.
    Cancelled,
    /// It had ended in another way.
    Ended(TerminalState),
    /// There is no such job.
    Unknown,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Of a submission.
    Submit(SubmitOutcome),
    /// Of each recorded end, in order.
    Ends(Vec<EndDecision>),
    /// Of a cancellation.
    Cancel(CancelOutcome),
    /// The jobs that were given to another driver: those whose epoch was the one named and that are open.
    Assigned(Vec<JobId>),
    /// Jobs were forgotten, so many.
    Expired(usize),
}
