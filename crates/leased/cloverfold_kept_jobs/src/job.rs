//! One kept job. [`OpenJob`] and [`EndedJob`] are the two states of its life: an open one is consumed when it ends.
//!
//! Decision: when a job ends. Rule: `Completed` once every task has an end `Done`; `Failed` once a task has `max_attempts` ends `Failed`;
//! `Cancelled` by its caller. The first of these holds. An end counts only from the driver of the present epoch.
//!
//! Inputs: the submission, the recorded ends in the order of the log.
//!
//! Reason: every replica comes to the same end, and no two drivers contribute to one: what an earlier driver's runs did after the job
//! was handed on is done again, so it must not count as well.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::commands::{EndDecision, EndOutcome, JobSubmission, TaskEnd};
use crate::ids::{DriverId, EndSequence, Epoch, JobDigest, TaskIndex};

/// How a job ended. The order of the variants is the format on disk and on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TerminalState {
    /// All its tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

/// How far a job has come, as callers are told. The order of the variants is the format on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has begun.
    Queued,
    /// A task has begun.
    Running,
    /// It has ended.
    Ended(TerminalState),
}

/// What is recorded of a task that has ended at least once. The order of the fields is the format on disk and on the wire.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether it is done.
    pub is_done: bool,
    /// Ends `Failed`.
    pub failures: u32,
    /// Number of the newest run whose end is recorded.
    pub last_run: u64,
}

/// A job that has not ended. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJob {
    submission: JobSubmission,
    epoch: Epoch,
    driver: DriverId,
    /// Tasks with a recorded end.
    progress: BTreeMap<TaskIndex, TaskProgress>,
    done: TaskIndex,
    /// The runs of each task that are recorded as failed: at most `max_attempts` of a task, since the job ends then.
    failed_runs: BTreeMap<TaskIndex, BTreeSet<u64>>,
}

/// A job that has ended; it is remembered so that its caller gets the same answer. The order of the fields is the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// How it ended.
    pub how: TerminalState,
    /// Hash of what the caller sent.
    pub digest: JobDigest,
    /// Its place in the order of the ends.
    pub sequence: EndSequence,
    /// The epoch of its last driver.
    pub epoch: Epoch,
}

impl EndedJob {
    /// Decides on an end that comes after the job has ended. One of an earlier driver stays fenced: its task may have begun anew since.
    pub fn decide_late_end(&self, end: &TaskEnd) -> EndDecision {
        if end.epoch == self.epoch {
            EndDecision::JobOver
        } else {
            EndDecision::Fenced
        }
    }
}

impl OpenJob {
    /// Returns a job that was just submitted: its entry drives it in epoch 1.
    pub fn new(submission: JobSubmission) -> Self {
        Self {
            driver: submission.driver,
            submission,
            epoch: 1,
            progress: BTreeMap::new(),
            done: 0,
            failed_runs: BTreeMap::new(),
        }
    }

    /// Returns the job as it was submitted.
    pub fn submission(&self) -> &JobSubmission {
        &self.submission
    }

    /// Returns the epoch of its present driver.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns its present driver.
    pub fn driver(&self) -> DriverId {
        self.driver
    }

    /// Returns what is recorded of its tasks; tasks without a recorded end are left out.
    pub fn progress(&self) -> &BTreeMap<TaskIndex, TaskProgress> {
        &self.progress
    }

    /// Gives the job to another driver if `after` is the present epoch; returns whether it was.
    pub fn assign(&mut self, after: Epoch, driver: DriverId) -> bool {
        let is_present = self.epoch == after;
        if is_present {
            self.epoch += 1;
            self.driver = driver;
        }
        is_present
    }

    /// Records the end of a run.
    pub fn record(&mut self, end: &TaskEnd) -> EndDecision {
        if end.epoch != self.epoch {
            return self.judge_foreign(end);
        }
        self.count(end);
        EndDecision::Recorded
    }

    /// Counts the end of a run once. Two guards may record the ends of two runs of a task in either order.
    fn count(&mut self, end: &TaskEnd) {
        let task = self.progress.entry(end.task).or_default();
        task.last_run = task.last_run.max(end.run);
        match end.outcome {
            _ if task.is_done => {}
            EndOutcome::Done => {
                task.is_done = true;
                self.done += 1;
            }
            EndOutcome::Failed => {
                let runs = self.failed_runs.entry(end.task).or_default();
                task.failures += u32::from(runs.insert(end.run));
            }
        }
    }

    /// Decides on an end of another epoch: one that was recorded in its own epoch may still be acknowledged.
    fn judge_foreign(&self, end: &TaskEnd) -> EndDecision {
        let runs = self.failed_runs.get(&end.task);
        let has_failed = runs.is_some_and(|runs| runs.contains(&end.run));
        let task = self.progress.get(&end.task);
        if has_failed || task.is_some_and(|task| task.last_run == end.run) {
            EndDecision::Recorded
        } else {
            EndDecision::Fenced
        }
    }

    /// Returns how the job has ended by what is recorded; `None` while it goes on.
    pub fn terminal_state(&self) -> Option<TerminalState> {
        let limit = self.submission.max_attempts.max(1);
        let has_failed = |task: &TaskProgress| !task.is_done && task.failures >= limit;
        if self.progress.values().any(has_failed) {
            Some(TerminalState::Failed)
        } else if self.done >= self.submission.tasks {
            Some(TerminalState::Completed)
        } else {
            None
        }
    }

    /// Ends the job.
    pub fn end(self, how: TerminalState, sequence: EndSequence) -> EndedJob {
        EndedJob {
            how,
            digest: self.submission.digest,
            sequence,
            epoch: self.epoch,
        }
    }
}
