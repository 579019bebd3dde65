//! Kept (durable) jobs: how the dispatcher starts and stops driving one, and how they are queued.
//!
//! A kept job is placed like a repeatable one (`placement`, `precedence`, `late_runs`) but has no queue deadline and is never given up or
//! cancelled here. It ends only through its runs or through [`Dispatcher::stop_driving`], which its driver calls. Its run numbers start at
//! a value that depends on the epoch, so that runs of a later driver have higher numbers. Its runs are assigned only to runners whose build
//! records their ends.
//!
//! # Lost sessions
//!
//! When a session is lost with runs of a kept job, the job is released to its group once these runs have ended
//! ([`DispatcherAction::ReleaseJob`]), to be driven in another epoch. The runner may have recorded an end `Done` that was not reported to
//! this dispatcher, and a task that is done must not start again. An epoch starts with everything that is recorded, and no end of an
//! earlier epoch is recorded after that.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndOutcome, Epoch, TaskIndex, TaskProgress, first_run_of};

use crate::dispatcher::Dispatcher;
use crate::dispatcher::actions::DispatcherAction;
use crate::dispatcher::answers::JobAnswer;
use crate::dispatcher::job::{Job, JobNumber, Task, TaskPhase, TaskPosition};
use crate::messages::{RunOutcome, SessionId};
use crate::request::JobRequest;

/// A kept job as its driver passes it to the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptJob {
    /// The steps and their tasks.
    pub request: JobRequest,
    /// Epoch in which this entry drives it.
    pub epoch: Epoch,
    /// Recorded progress of its tasks; tasks without a recorded end are omitted.
    pub progress: Vec<(TaskIndex, TaskProgress)>,
}

impl Dispatcher {
    /// Starts driving a kept job and returns its number.
    ///
    /// Tasks that are recorded as done are not run again, and recorded failures count as attempts.
    /// [`DispatcherAction::Answer`] reports that the job has ended.
    pub fn drive(&mut self, kept: KeptJob, now: Timestamp) -> JobNumber {
        self.give_up_after_stall(now);
        if let Some(&earlier) = self.open_jobs_by_name.get(&kept.request.id) {
            self.finish_job(earlier, JobAnswer::GivenUp);
        }
        let number = self.next_job_number();
        let (queue, priority) = (&kept.request.queue, kept.request.priority);
        self.shares.record_submission(queue, priority, now);
        self.open_jobs_by_name
            .insert(kept.request.id.clone(), number);
        let job = resume(kept, now);
        if job.has_waiting_tasks() {
            self.waiting.insert(job.queue_position(number));
        }
        self.jobs.insert(number, job);
        self.place_waiting(now);
        number
    }

    /// Stops driving a kept job and withdraws its runs; does nothing if it has ended.
    ///
    /// Tasks with the same IDs are not started before these runs have certainly ended.
    pub fn stop_driving(&mut self, number: JobNumber) {
        self.close_job(number);
    }

    /// Releases a kept job to its group because a run of this task ended with an unknown outcome.
    ///
    /// The run may have been recorded as done, so the task is not run again in this epoch.
    pub(super) fn release_job(&mut self, position: TaskPosition) {
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.set_phase(position.index, TaskPhase::Unrecorded);
            self.actions
                .push(DispatcherAction::ReleaseJob(position.job));
        }
    }

    /// Passes the end of a run of a kept job to the process if the run is done or failed.
    pub(super) fn observe_kept_end(
        &mut self,
        position: TaskPosition,
        run: u64,
        outcome: RunOutcome,
    ) {
        let outcome = match outcome {
            RunOutcome::Done => EndOutcome::Done,
            RunOutcome::Failed => EndOutcome::Failed,
            _ => return,
        };
        if self.jobs.get(&position.job).is_some_and(Job::is_kept) {
            self.actions.push(DispatcherAction::ObserveEnd {
                job: position.job,
                task: position.index as TaskIndex,
                run,
                outcome,
            });
        }
    }

    /// Counts a late run of a task if its job is kept.
    pub(super) fn record_late_run(&mut self, position: TaskPosition) {
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.record_late_run(position.index);
        }
    }

    /// Returns whether a run of an open job may be in progress; `false` if the job is closed.
    pub fn has_open_runs(&self, number: JobNumber) -> bool {
        let job = self.jobs.get(&number);
        let may_be_running = |task: &Task| {
            matches!(
                task.phase(),
                TaskPhase::Assigned { .. } | TaskPhase::Uncertain
            )
        };
        job.is_some_and(|job| job.tasks.iter().any(may_be_running))
    }

    /// Returns whether a run of a closed job with this name may be in progress.
    pub fn has_detached_runs(&self, id: &str) -> bool {
        self.detached_runs.keys().any(|task| task.job == id)
    }

    /// Returns whether any task of an open job is known to have started. A task that is only assigned may still be refused by its target.
    pub fn has_begun(&self, number: JobNumber) -> bool {
        self.jobs.get(&number).is_some_and(|job| job.has_begun)
    }

    /// Records that the runner's build can decode assignments of kept jobs.
    pub fn set_supports_kept_jobs(&mut self, session: SessionId) {
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.supports_kept_jobs = true;
        }
    }

    /// Records that the runner's build reports the starts of runs. Those of other runners count as begun once they are assigned.
    pub fn set_reports_starts(&mut self, session: SessionId) {
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.reports_starts = true;
        }
    }
}

/// Builds a job from its recorded progress.
fn resume(kept: KeptJob, now: Timestamp) -> Job {
    let first_run = first_run_of(kept.epoch);
    let mut job = Job::new(kept.request, false, first_run, now);
    job.epoch = Some(kept.epoch);
    job.has_run = !kept.progress.is_empty();
    job.has_begun = job.has_run;
    for (index, progress) in kept.progress {
        let Some(task) = job.tasks.get_mut(index as usize) else {
            continue;
        };
        task.failures = progress.failures;
        if progress.is_done {
            job.set_phase(index as usize, TaskPhase::Done);
        }
    }
    job.unblock_steps();
    job
}
