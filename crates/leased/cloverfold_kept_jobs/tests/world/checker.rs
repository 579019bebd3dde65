//! Recorded history of the simulation, and the invariants that it must satisfy.

use std::collections::{BTreeMap, BTreeSet};

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{Epoch, JobId, JobTable, TaskIndex};

/// A task run as observed by its target.
#[derive(Clone, Debug)]
pub struct ObservedRun {
    pub job: JobId,
    pub task: TaskIndex,
    pub epoch: Epoch,
    pub from: Timestamp,
    pub to: Timestamp,
}

/// Observations of callers, targets and the log.
#[derive(Default)]
pub struct History {
    pub runs: Vec<ObservedRun>,
    /// Jobs that were acknowledged as accepted.
    pub accepted: BTreeSet<JobId>,
    /// Jobs that were acknowledged as cancelled.
    pub cancelled: BTreeSet<JobId>,
    /// Epoch and time of the first recorded `Done` run of each task.
    pub done: BTreeMap<(JobId, TaskIndex), (Epoch, Timestamp)>,
    pub handovers: u64,
    pub fenced_ends: u64,
}

impl History {
    /// Returns all violations of the invariants.
    pub fn find_violations(&self, table: &JobTable) -> Vec<String> {
        let mut violations = self.find_lost_jobs(table);
        violations.extend(self.find_overlapping_runs());
        violations.extend(self.find_reruns_of_done_tasks());
        violations
    }

    /// Returns acknowledged jobs that have not ended. Every job must end once fault injection has stopped.
    fn find_lost_jobs(&self, table: &JobTable) -> Vec<String> {
        let acknowledged = self.accepted.union(&self.cancelled);
        let lost = acknowledged.filter(|job| table.ended(job).is_none());
        lost.map(|job| format!("{job} was accepted and has not ended"))
            .collect()
    }

    /// Returns overlapping runs of a task.
    fn find_overlapping_runs(&self) -> Vec<String> {
        let mut by_task: BTreeMap<_, Vec<&ObservedRun>> = BTreeMap::new();
        for run in &self.runs {
            by_task.entry((&run.job, run.task)).or_default().push(run);
        }
        let mut violations = Vec::new();
        for runs in by_task.values_mut() {
            runs.sort_by_key(|run| run.from);
            for pair in runs.windows(2) {
                if pair[1].from < pair[0].to {
                    violations.push(format!("{:?} overlaps {:?}", pair[1], pair[0]));
                }
            }
        }
        violations
    }

    /// Returns runs that started after their task was recorded as done, or in a later epoch than the recorded run.
    fn find_reruns_of_done_tasks(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for run in &self.runs {
            let done = self.done.get(&(run.job.clone(), run.task));
            if let Some((epoch, at)) = done
                && (run.from > *at || run.epoch > *epoch)
            {
                violations.push(format!("{run:?} although it was done in epoch {epoch}"));
            }
        }
        violations
    }
}
