//! Simplified model of an entry as a driver, with the task runs that it has started.

use std::collections::{BTreeMap, BTreeSet};

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    DrivenJob, DriverId, Epoch, JobAssignment, JobId, KeptJobTimings, RUNS_PER_EPOCH, Renewal,
    TaskIndex,
};

use crate::rng::Rng;

pub struct DrivenJobState {
    pub epoch: Epoch,
    pub tasks: TaskIndex,
    pub done: BTreeSet<TaskIndex>,
    runs_started: u64,
}

/// A task run in progress.
#[derive(Clone, Debug)]
pub struct Run {
    pub job: JobId,
    pub task: TaskIndex,
    pub epoch: Epoch,
    pub run: u64,
    pub from: Timestamp,
    /// Time at which it finishes unless it is stopped.
    pub ends_at: Timestamp,
    /// Time at which it is stopped, if scheduled.
    pub stopped_at: Option<Timestamp>,
}

pub struct Entry {
    pub name: String,
    pub driver: DriverId,
    pub lease_until: Option<Timestamp>,
    pub driving: BTreeMap<JobId, DrivenJobState>,
    /// Jobs that it dropped or released, with the epoch in which it must not drive them again.
    pub retired: BTreeSet<(JobId, Epoch)>,
    /// Send time of the newest answered renewal.
    pub newest_answered_at: Option<Timestamp>,
    pub runs: Vec<Run>,
    pub renewed_at: Timestamp,
    /// Time until which the entry sends no renewals.
    pub unreachable_until: Timestamp,
}

impl Entry {
    pub fn new(index: usize, rng: &mut Rng) -> Self {
        Self {
            name: format!("entry-{index}"),
            driver: rng.id(),
            lease_until: None,
            driving: BTreeMap::new(),
            retired: BTreeSet::new(),
            newest_answered_at: None,
            runs: Vec::new(),
            renewed_at: Timestamp::ZERO,
            unreachable_until: Timestamp::ZERO,
        }
    }

    pub fn has_lease(&self, now: Timestamp) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Ends the lease: the entry stops driving all jobs, and its runs end within the run termination bound.
    pub fn lose_lease(&mut self, rng: &mut Rng, now: Timestamp) {
        let bound = KeptJobTimings::default().run_termination_bound.as_millis() as u64;
        for run in &mut self.runs {
            run.stopped_at.get_or_insert(now + rng.millis(0, bound));
        }
        self.driving.clear();
        self.retired.clear();
        self.newest_answered_at = None;
        self.lease_until = None;
        self.driver = rng.id();
    }

    pub fn renewal(&self) -> Renewal {
        let driving = self.driving.iter().map(|(job, driven)| DrivenJob {
            job: job.clone(),
            epoch: driven.epoch,
            has_begun: driven.runs_started > 0,
        });
        Renewal {
            driver: self.driver,
            entry: self.name.clone(),
            takes_jobs: true,
            driving: driving.collect(),
        }
    }

    /// Starts to drive a job unless it is or was driven in that epoch.
    pub fn drive(&mut self, assignment: &JobAssignment, now: Timestamp) {
        let known = self.driving.get(&assignment.job);
        let is_newer = known.is_none_or(|driven| driven.epoch < assignment.epoch);
        let is_retired = self
            .retired
            .contains(&(assignment.job.clone(), assignment.epoch));
        if !is_newer || is_retired || !self.has_lease(now) {
            return;
        }
        let done = assignment.progress.iter().filter(|(_, task)| task.is_done);
        let driven = DrivenJobState {
            epoch: assignment.epoch,
            tasks: TaskIndex::from(assignment.body[0]),
            done: done.map(|(task, _)| *task).collect(),
            runs_started: 0,
        };
        self.driving.insert(assignment.job.clone(), driven);
    }

    /// Drops a job that is driven in that epoch.
    pub fn drop_job(&mut self, job: &JobId, epoch: Epoch, now: Timestamp) {
        if self
            .driving
            .get(job)
            .is_some_and(|driven| driven.epoch == epoch)
        {
            self.driving.remove(job);
            self.retired.insert((job.clone(), epoch));
            let runs = self.runs.iter_mut().filter(|run| run.job == *job);
            runs.for_each(|run| run.stopped_at = Some(now));
        }
    }

    /// Starts runs of unfinished tasks at random.
    pub fn start_runs(&mut self, rng: &mut Rng, now: Timestamp) {
        for (job, driven) in &mut self.driving {
            for task in 0..driven.tasks {
                let is_running = self
                    .runs
                    .iter()
                    .any(|run| run.job == *job && run.task == task);
                if driven.done.contains(&task) || is_running || !rng.one_in(10) {
                    continue;
                }
                driven.runs_started += 1;
                self.runs.push(Run {
                    job: job.clone(),
                    task,
                    epoch: driven.epoch,
                    run: driven.epoch * RUNS_PER_EPOCH + driven.runs_started,
                    from: now,
                    ends_at: now + rng.millis(50, 1_500),
                    stopped_at: None,
                });
            }
        }
    }
}
