//! Calls that ask for a job which has not ended.
//!
//! Decision: when such a call is answered. Rule: once the job has ended, or after [`MAX_SHOW_WAIT`] with how far it is then. Inputs: the end
//! of the job, the time.
//!
//! Reason: callers ask right after the last task has ended, when the record of that end is still on its way to a majority's disks; an
//! answer `Running` would tell them of the end only when they ask again: 0.312 -> 0.899 of the worth of a calm day of kept jobs on 11 boxes,
//! one play each without processor time (docs/design/13-kept-jobs.md, "Measured").

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::JobId;

use super::Caller;

/// How long a call waits for the end of its job. Chosen, not measured: two syncs of 9 ms and the messages between target, guard and
/// leader take some 30 ms.
const MAX_SHOW_WAIT: Duration = Duration::from_millis(60);

/// Calls that wait for the end of a job.
#[derive(Debug, Default)]
pub(super) struct JobWatches {
    by_job: HashMap<JobId, Vec<Caller>>,
    /// When each call is answered at the latest, in order; those whose job has ended are answered already.
    due: VecDeque<(Timestamp, JobId)>,
}

impl JobWatches {
    /// Adds a call.
    pub(super) fn add(&mut self, job: &JobId, caller: Caller, now: Timestamp) {
        self.by_job.entry(job.clone()).or_default().push(caller);
        self.due.push_back((now + MAX_SHOW_WAIT, job.clone()));
    }

    /// Returns the calls that wait for the end of a job.
    pub(super) fn take(&mut self, job: &str) -> Vec<Caller> {
        self.by_job.remove(job).unwrap_or_default()
    }

    /// Returns the jobs for which a call has waited long enough, with all calls that wait for them.
    pub(super) fn take_due(&mut self, now: Timestamp) -> Vec<(JobId, Vec<Caller>)> {
        let mut due = Vec::new();
        while let Some((_, job)) = self.due.pop_front_if(|(at, _)| now >= *at) {
            if let Some(callers) = self.by_job.remove(&job) {
                due.push((job, callers));
            }
        }
        due
    }

    /// Returns how many jobs are watched.
    pub(super) fn len(&self) -> usize {
        self.due.len()
    }

    /// Returns all calls that wait.
    pub(super) fn take_all(&mut self) -> impl Iterator<Item = Caller> + use<> {
        self.due.clear();
        let waiting = std::mem::take(&mut self.by_job);
        waiting.into_values().flatten()
    }
}
