//! A single kept job. [`OpenJob`] and [`EndedJob`] are its two states: ending a job consumes the [`OpenJob`].
//!
//! A job ends as `Completed` once every task has a `Done` run, as `Failed` once a task has `max_attempts` `Failed` runs, and as
//! `Cancelled` at its caller's request. The first of these is final.
//!
//! A run end counts only in the current epoch. A job that was handed over reruns the tasks without a recorded end, so a late end of an
//! earlier epoch must not count as well. Every replica applies the ends in log order and reaches the same state.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::commands::{EndDecision, EndOutcome, JobSubmission, TaskEnd};
use crate::ids::{DriverId, EndSequence, Epoch, JobDigest, TaskIndex};

/// The final state of a job. The order of the variants is part of the disk and wire formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum TerminalState {
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// The phase of a job as reported to callers. The order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(TerminalState),
}

/// Progress of a task with at least one recorded run end. The order of the fields is part of the disk and wire formats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether a run of the task succeeded.
    pub is_done: bool,
    /// Number of failed runs.
    pub failures: u32,
    /// Highest run number whose end is recorded.
    pub last_run: u64,
}

/// A job that has not ended. The order of the fields is part of the disk format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenJob {
    submission: JobSubmission,
    epoch: Epoch,
    driver: DriverId,
    /// Tasks with a recorded run end.
    progress: BTreeMap<TaskIndex, TaskProgress>,
    /// Number of tasks that are done.
    done: TaskIndex,
    /// Failed runs of each task: at most `max_attempts` for each, since the job ends then.
    failed_runs: BTreeMap<TaskIndex, BTreeSet<u64>>,
}

/// A job that has ended, stored so that repeated calls get the same answer. The order of the fields is part of the disk format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedJob {
    /// The final state.
    pub how: TerminalState,
    /// Hash of the submitted content.
    pub digest: JobDigest,
    /// Its sequence number among the ended jobs.
    pub sequence: EndSequence,
    /// The epoch of its last driver.
    pub epoch: Epoch,
}

impl EndedJob {
    /// Returns the decision on a run end that arrives after the job has ended. An end of an earlier epoch stays fenced, since the task may
    /// have rerun.
    pub fn decide_late_end(&self, end: &TaskEnd) -> EndDecision {
        if end.epoch == self.epoch {
            EndDecision::JobOver
        } else {
            EndDecision::Fenced
        }
    }
}

impl OpenJob {
    /// Returns a newly submitted job, which its entry drives in epoch 1.
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

    /// Returns the current epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the current driver.
    pub fn driver(&self) -> DriverId {
        self.driver
    }

    /// Returns the progress of the tasks that have a recorded run end.
    pub fn progress(&self) -> &BTreeMap<TaskIndex, TaskProgress> {
        &self.progress
    }

    /// Assigns the job to another driver if `after` is the current epoch. Returns whether it was.
    pub fn assign(&mut self, after: Epoch, driver: DriverId) -> bool {
        let is_current = self.epoch == after;
        if is_current {
            self.epoch += 1;
            self.driver = driver;
        }
        is_current
    }

    /// Records the end of a run.
    pub fn record(&mut self, end: &TaskEnd) -> EndDecision {
        if end.epoch != self.epoch {
            return self.decide_end_of_other_epoch(end);
        }
        self.count_end(end);
        EndDecision::Recorded
    }

    /// Counts the end of a run once. Two guards may record the ends of two runs of one task in either order.
    fn count_end(&mut self, end: &TaskEnd) {
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

    /// Returns the decision on an end of another epoch. An end that was recorded in its own epoch is acknowledged again.
    fn decide_end_of_other_epoch(&self, end: &TaskEnd) -> EndDecision {
        let runs = self.failed_runs.get(&end.task);
        let has_failed = runs.is_some_and(|runs| runs.contains(&end.run));
        let task = self.progress.get(&end.task);
        if has_failed || task.is_some_and(|task| task.last_run == end.run) {
            EndDecision::Recorded
        } else {
            EndDecision::Fenced
        }
    }

    /// Returns the final state that the recorded ends imply, or `None` while the job is open.
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

    /// Converts the job into an ended one.
    pub fn end(self, how: TerminalState, sequence: EndSequence) -> EndedJob {
        EndedJob {
            how,
            digest: self.submission.digest,
            sequence,
            epoch: self.epoch,
        }
    }
}
