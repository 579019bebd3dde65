//! An entry as a driver, as far as the promises rest on it, with the runs that it has begun.

use std::collections::{BTreeMap, BTreeSet};

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    DrivenJob, DriverId, Epoch, JobAssignment, JobId, KeptJobTimings, RUNS_PER_EPOCH, Renewal,
    TaskIndex,
};

use crate::draws::Draws;

/// What a driver knows of a job.
pub struct Driven {
    pub epoch: Epoch,
    pub tasks: TaskIndex,
    pub done: BTreeSet<TaskIndex>,
    begun: u64,
}

/// A run that goes on.
#[derive(Clone, Debug)]
pub struct Run {
    pub job: JobId,
    pub task: TaskIndex,
    pub epoch: Epoch,
    pub run: u64,
    pub from: Timestamp,
    /// When its work is done.
    pub ends_at: Timestamp,
    /// When it is stopped, if that is decided.
    pub stopped_at: Option<Timestamp>,
}

/// An entry.
pub struct Entry {
    pub name: String,
    pub driver: DriverId,
    pub lease_until: Option<Timestamp>,
    pub driving: BTreeMap<JobId, Driven>,
    /// Jobs that it dropped or gave back, with the epoch: it never drives them in that epoch again.
    pub gone: BTreeSet<(JobId, Epoch)>,
    /// When the newest renewal was sent that was answered.
    pub answered: Option<Timestamp>,
    pub runs: Vec<Run>,
    pub renewed_at: Timestamp,
    /// It is dead or cut off until then.
    pub away_until: Timestamp,
}

impl Entry {
    pub fn new(place: usize, draws: &mut Draws) -> Self {
        Self {
            name: format!("entry-{place}"),
            driver: draws.id(),
            lease_until: None,
            driving: BTreeMap::new(),
            gone: BTreeSet::new(),
            answered: None,
            runs: Vec::new(),
            renewed_at: Timestamp::ZERO,
            away_until: Timestamp::ZERO,
        }
    }

    pub fn has_lease(&self, now: Timestamp) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Lets the lease go for good: nothing is driven, and the runs end within the bound.
    pub fn lapse(&mut self, draws: &mut Draws, now: Timestamp) {
        let bound = KeptJobTimings::default().run_termination_bound.as_millis() as u64;
        for run in &mut self.runs {
            run.stopped_at.get_or_insert(now + draws.millis(0, bound));
        }
        self.driving.clear();
        self.gone.clear();
        self.answered = None;
        self.lease_until = None;
        self.driver = draws.id();
    }

    pub fn renewal(&self) -> Renewal {
        let driving = self.driving.iter().map(|(job, driven)| DrivenJob {
            job: job.clone(),
            epoch: driven.epoch,
            has_begun: driven.begun > 0,
        });
        Renewal {
            driver: self.driver,
            entry: self.name.clone(),
            takes_jobs: true,
            driving: driving.collect(),
        }
    }

    /// Begins to drive a job, unless it drives it in that epoch or has given it back.
    pub fn drive(&mut self, order: &JobAssignment, now: Timestamp) {
        let known = self.driving.get(&order.job);
        let is_newer = known.is_none_or(|driven| driven.epoch < order.epoch);
        let is_gone = self.gone.contains(&(order.job.clone(), order.epoch));
        if !is_newer || is_gone || !self.has_lease(now) {
            return;
        }
        let done = order.progress.iter().filter(|(_, task)| task.is_done);
        let driven = Driven {
            epoch: order.epoch,
            tasks: TaskIndex::from(order.body[0]),
            done: done.map(|(task, _)| *task).collect(),
            begun: 0,
        };
        self.driving.insert(order.job.clone(), driven);
    }

    /// Drops a job that it drives in that epoch.
    pub fn drop_job(&mut self, job: &JobId, epoch: Epoch, now: Timestamp) {
        if self.driving.get(job).is_some_and(|d| d.epoch == epoch) {
            self.driving.remove(job);
            self.gone.insert((job.clone(), epoch));
            let runs = self.runs.iter_mut().filter(|run| run.job == *job);
            runs.for_each(|run| run.stopped_at = Some(now));
        }
    }

    /// Begins the runs of one job that are missing.
    pub fn begin_runs(&mut self, draws: &mut Draws, now: Timestamp) {
        for (job, driven) in &mut self.driving {
            for task in 0..driven.tasks {
                let is_running = self.runs.iter().any(|r| r.job == *job && r.task == task);
                if driven.done.contains(&task) || is_running || !draws.one_in(10) {
                    continue;
                }
                driven.begun += 1;
                self.runs.push(Run {
                    job: job.clone(),
                    task,
                    epoch: driven.epoch,
                    run: driven.epoch * RUNS_PER_EPOCH + driven.begun,
                    from: now,
                    ends_at: now + draws.millis(50, 1_500),
                    stopped_at: None,
                });
            }
        }
    }
}
