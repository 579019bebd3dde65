//! Long polling of open jobs.
//!
//! A call that shows an open job is answered once the job has ended, or with its current phase after [`MAX_SHOW_WAIT`]. Callers usually ask
//! right after the last task has ended, while the record of that end is still being replicated; an immediate reply `Running` would delay
//! the result until their next poll.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::JobId;

use super::Caller;

/// How long a call waits for the end of its job; about twice the time to replicate the end of a task, which takes two syncs of 9 ms and the
/// messages between target, guard and leader.
const MAX_SHOW_WAIT: Duration = Duration::from_millis(60);

/// The calls that wait for the end of a job.
#[derive(Debug, Default)]
pub(super) struct JobWatches {
    by_job: HashMap<JobId, Vec<Caller>>,
    /// Deadlines of the calls, in order; includes calls already answered because their job ended.
    due: VecDeque<(Timestamp, JobId)>,
}

impl JobWatches {
    pub(super) fn add(&mut self, job: &JobId, caller: Caller, now: Timestamp) {
        self.by_job.entry(job.clone()).or_default().push(caller);
        self.due.push_back((now + MAX_SHOW_WAIT, job.clone()));
    }

    /// Takes the calls that wait for the end of a job.
    pub(super) fn take(&mut self, job: &str) -> Vec<Caller> {
        self.by_job.remove(job).unwrap_or_default()
    }

    /// Takes the jobs with an expired call, each with all calls that wait for it.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<(JobId, Vec<Caller>)> {
        let mut due = Vec::new();
        while let Some((_, job)) = self.due.pop_front_if(|(at, _)| now >= *at) {
            if let Some(callers) = self.by_job.remove(&job) {
                due.push((job, callers));
            }
        }
        due
    }

    /// Returns the number of deadlines not passed yet.
    pub(super) fn len(&self) -> usize {
        self.due.len()
    }

    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Caller> + use<> {
        self.due.clear();
        let waiting = std::mem::take(&mut self.by_job);
        waiting.into_values().flatten()
    }
}
