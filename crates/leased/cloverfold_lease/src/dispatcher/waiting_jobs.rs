//! Why jobs still wait after a pass over the queue.
//!
//! Each pass counts the jobs that it leaves waiting. While any job has waited for longer than [`REPORTED_WAIT`], the counts are reported
//! at most once per [`REPORT_INTERVAL`].

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::events::DispatcherEvent;

/// Wait of a job from which the counts are reported.
const REPORTED_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Jobs with waiting tasks after a pass over the queue, by the reason why they wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingJobs {
    /// No target could run their next task.
    pub unplaced: usize,
    /// The pass ended or skipped them before it looked for a target.
    pub untried: usize,
}

/// The counts of the latest pass, and when counts were last reported.
#[derive(Debug, Default)]
pub(super) struct WaitingJobsReport {
    pub(super) latest: WaitingJobs,
    reported_at: Option<Timestamp>,
}

impl Dispatcher {
    /// Returns the jobs that the latest pass over the queue left waiting.
    pub fn waiting_jobs(&self) -> WaitingJobs {
        self.waiting_jobs.latest
    }

    /// Reports the waiting jobs if one of them has waited for long and no report was made lately.
    pub(super) fn report_waiting_jobs(&mut self, now: Timestamp) {
        let last = self.waiting_jobs.reported_at;
        if last.is_some_and(|at| now < at + REPORT_INTERVAL) {
            return;
        }
        let jobs = self.waiting.iter();
        let jobs = jobs.filter_map(|position| self.jobs.get(&position.job));
        let Some(submitted_at) = jobs.map(|job| job.submitted_at).min() else {
            return;
        };
        let oldest = now.saturating_duration_since(submitted_at);
        if oldest < REPORTED_WAIT {
            return;
        }
        self.waiting_jobs.reported_at = Some(now);
        self.report(DispatcherEvent::JobsWaiting {
            jobs: self.waiting_jobs.latest,
            oldest,
        });
    }
}
