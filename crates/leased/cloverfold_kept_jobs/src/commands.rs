//! Commands in a group's log, and their outcomes.
//!
//! They are encoded with postcard on disk and on the wire: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};

use crate::ids::{DriverId, EndSequence, Epoch, JobDigest, JobId, TaskIndex};
use crate::job::TerminalState;

/// A job as an entry submits it to the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSubmission {
    /// Name that the caller gave to the job.
    pub id: JobId,
    /// Queue through which it was submitted.
    pub queue: String,
    /// Hash of the submitted content.
    pub digest: JobDigest,
    /// Payload that the entry needs to drive the job; opaque to the group.
    pub body: Vec<u8>,
    /// Number of tasks.
    pub tasks: TaskIndex,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Identity of the submitting entry, which is the first driver.
    pub driver: DriverId,
}

/// Recorded outcome of a task run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndOutcome {
    /// The run succeeded.
    Done,
    /// The run failed, because of the task or of the target.
    Failed,
}

/// The end of a task run, recorded by the guard that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The job.
    pub job: JobId,
    /// The epoch in which the run was started.
    pub epoch: Epoch,
    /// The task.
    pub task: TaskIndex,
    /// The run number.
    pub run: u64,
    /// The outcome of the run.
    pub outcome: EndOutcome,
}

/// Assigns a job to another driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobReassignment {
    /// The job.
    pub job: JobId,
    /// The epoch that ends. The new driver gets the next one.
    pub after: Epoch,
    /// The new driver.
    pub driver: DriverId,
}

/// A change to the table. The order of the variants is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCommand {
    /// Accept a job.
    Submit(JobSubmission),
    /// Record the ends of runs.
    RecordEnds(Vec<TaskEnd>),
    /// Cancel a job.
    Cancel(JobId),
    /// Assign jobs to other drivers. Only the leader proposes this.
    Assign(Vec<JobReassignment>),
    /// Remove the ended jobs up to this sequence number. Only the leader proposes this.
    Expire(EndSequence),
}

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitOutcome {
    /// The job is stored; the submitting entry drives it in this epoch.
    Accepted(Epoch),
    /// The same job is already stored.
    Known,
    /// A job with this name and another digest is stored. The submitted job never runs.
    Conflict,
    /// The table is full. The submitted job never runs.
    Full,
}

/// The decision on the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndDecision {
    /// The end is recorded, now or earlier.
    Recorded,
    /// The job has ended in this epoch, so the end has no effect.
    JobOver,
    /// The job has been driven in a later epoch, which may have rerun the task, or has been removed. The end must not count.
    Fenced,
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelOutcome {
    /// The job is cancelled, now or earlier.
    Cancelled,
    /// The job had already ended in another state.
    Ended(TerminalState),
    /// There is no such job. A group replies so only once a tombstone keeps later submissions from running.
    Unknown,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Outcome of a submission.
    Submit(SubmitOutcome),
    /// Decision on each recorded end, in order.
    Ends(Vec<EndDecision>),
    /// Outcome of a cancellation.
    Cancel(CancelOutcome),
    /// The jobs that were reassigned: those that are open and were in the named epoch.
    Assigned(Vec<JobId>),
    /// Number of ended jobs that were removed.
    Expired(usize),
}
