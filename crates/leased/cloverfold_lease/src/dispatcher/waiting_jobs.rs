//! Why jobs still wait after a pass over the queue.
//!
//! Each pass counts the jobs that it leaves waiting. While any job has waited for longer than [`REPORTED_WAIT`], the counts are reported
//! at most once per [`REPORT_INTERVAL`].

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::events::DispatcherEvent;
use crate::dispatcher::wait_causes::WaitCause;

/// Wait of a job from which the counts are reported.
const REPORTED_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Jobs with tasks that wait for a target after a pass over the queue, by the cause of the first of their steps that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingJobs {
    /// No target of the service with the required label accepts work.
    pub no_target: usize,
    /// No such target has free capacity.
    pub no_capacity: usize,
    /// All targets with free capacity hold as many tasks of the step as allowed.
    pub limit_per_target: usize,
    /// An earlier run of each waiting task may be in progress.
    pub earlier_run_open: usize,
}

impl WaitingJobs {
    pub(super) fn record(&mut self, cause: WaitCause) {
        let count = match cause {
            WaitCause::NoTarget => &mut self.no_target,
            WaitCause::NoCapacity => &mut self.no_capacity,
            WaitCause::LimitPerTarget => &mut self.limit_per_target,
            WaitCause::EarlierRunOpen => &mut self.earlier_run_open,
        };
        *count += 1;
    }
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
