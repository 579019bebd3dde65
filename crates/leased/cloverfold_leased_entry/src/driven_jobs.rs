//! The kept jobs that this entry drives, by job ID and by dispatcher number.

use std::collections::{BTreeSet, HashMap};

use cloverfold_kept_jobs::{Epoch, JobId};
use cloverfold_lease::JobNumber;

/// A kept job that this entry drives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DrivenJob {
    pub(crate) id: JobId,
    pub(crate) epoch: Epoch,
}

/// The driven jobs that have not ended at the dispatcher.
#[derive(Debug, Default)]
pub(crate) struct DrivenJobs {
    by_number: HashMap<JobNumber, DrivenJob>,
    by_id: HashMap<JobId, JobNumber>,
    /// Jobs of which no task is known to have started.
    not_started: BTreeSet<JobNumber>,
}

impl DrivenJobs {
    /// Adds a job with its number at the dispatcher.
    pub(crate) fn insert(&mut self, number: JobNumber, job: DrivenJob) {
        self.by_id.insert(job.id.clone(), number);
        self.by_number.insert(number, job);
        self.not_started.insert(number);
    }

    /// Removes a job that has ended at the dispatcher.
    pub(crate) fn remove(&mut self, number: JobNumber) -> Option<DrivenJob> {
        let job = self.by_number.remove(&number)?;
        self.not_started.remove(&number);
        if self.by_id.get(&job.id) == Some(&number) {
            self.by_id.remove(&job.id);
        }
        Some(job)
    }

    /// Returns the number of a job if it is driven in this epoch.
    pub(crate) fn find(&self, id: &str, epoch: Epoch) -> Option<JobNumber> {
        let number = *self.by_id.get(id)?;
        let job = self.by_number.get(&number)?;
        (job.epoch == epoch).then_some(number)
    }

    pub(crate) fn get(&self, number: JobNumber) -> Option<&DrivenJob> {
        self.by_number.get(&number)
    }

    pub(crate) fn id(&self, number: JobNumber) -> Option<JobId> {
        self.by_number.get(&number).map(|job| job.id.clone())
    }

    pub(crate) fn number(&self, id: &str) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    /// Returns the jobs that have started since the last call.
    pub(crate) fn take_started(&mut self, has_started: impl Fn(JobNumber) -> bool) -> Vec<JobId> {
        let started = self.not_started.iter().copied();
        let started: Vec<JobNumber> = started.filter(|number| has_started(*number)).collect();
        let mut ids = Vec::new();
        for number in started {
            self.not_started.remove(&number);
            ids.extend(self.by_number.get(&number).map(|job| job.id.clone()));
        }
        ids
    }
}
