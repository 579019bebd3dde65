//! Consequences of the start and the end of a run.
//!
//! - `Done`: the task is done, and the target's health improves.
//! - `Failed`: the task is retried, preferably on another target. After the last attempt its job fails. Only the first failure of a task
//!   counts against the target.
//! - `Stopped`, `Lost`: the task is queued again.
//! - `Stuck`: the task is retried, preferably on another target, and no attempt is counted. The runner records the failure of its target
//!   itself.
//! - `NotStarted`: the task is retried, preferably on another target. The target is treated as full, or a failure is recorded if it did not
//!   answer or is unhealthy. `Rejected` fails a repeatable job.
//!
//! Runners report an end only when the run has certainly ended.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::JobAnswer;
use crate::dispatcher::closing::DetachedRun;
use crate::dispatcher::job::{Job, JobNumber, TaskPhase, TaskPosition};
use crate::messages::{RunOutcome, RunRefusal, SessionId, StartedRun, TaskId};

/// Increment of the run number after a target has seen a later run. Run numbers count tenths of a second, so this exceeds the numbers of
/// another entry whose wall clock is five seconds ahead.
const STALE_RUN_STEP: u64 = 50;

impl Dispatcher {
    /// Handles the end of a run, as reported by its runner.
    pub(super) fn handle_run_end(
        &mut self,
        session: SessionId,
        id: &TaskId,
        run: u64,
        outcome: RunOutcome,
        run_duration: Duration,
        now: Timestamp,
    ) {
        if self.detached_runs.get(id) == Some(&DetachedRun::Assigned { session, run }) {
            self.detached_runs.remove(id);
            return;
        }
        let Some(position) = self.find_run(id, session, run) else {
            return;
        };
        if outcome != RunOutcome::Done {
            self.report_run_end(position, session, run, outcome);
        }
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.has_run |= !matches!(outcome, RunOutcome::NotStarted(_));
            job.has_begun |= proves_start(outcome, run_duration);
        }
        self.observe_kept_end(position, run, outcome);
        match outcome {
            RunOutcome::Done => self.handle_done(position, session, run_duration),
            RunOutcome::Failed => self.handle_failed(position, session, now),
            RunOutcome::Stopped => self.queue_task(position),
            RunOutcome::Stuck => self.handle_stuck(position, session),
            RunOutcome::Lost => self.handle_lost(position),
            RunOutcome::NotStarted(refusal) => self.handle_refused(position, session, refusal, now),
        }
    }

    /// Records the starts of runs, as reported by their runner. Only the first one of a job changes anything.
    pub(super) fn handle_started_runs(&mut self, session: SessionId, started: &[StartedRun]) {
        for StartedRun { task, run } in started {
            if self.is_begun(&task.job) {
                continue;
            }
            let position = self.find_run(task, session, *run);
            if let Some(job) = position.and_then(|position| self.jobs.get_mut(&position.job)) {
                job.has_begun = true;
            }
        }
    }

    /// Returns whether an open job with this name is known to have begun.
    fn is_begun(&self, name: &str) -> bool {
        let number = self.open_jobs_by_name.get(name);
        let job = number.and_then(|number| self.jobs.get(number));
        job.is_some_and(|job| job.has_begun)
    }

    /// Returns the task whose current run is this run in this session.
    fn find_run(
        &self,
        id: &TaskId,
        expected_session: SessionId,
        expected_run: u64,
    ) -> Option<TaskPosition> {
        let number: JobNumber = *self.open_jobs_by_name.get(&id.job)?;
        let job = self.jobs.get(&number)?;
        let index = job.find_task(id)?;
        match job.tasks[index].phase() {
            TaskPhase::Assigned { session, run, .. }
                if session == expected_session && run == expected_run =>
            {
                Some(TaskPosition { job: number, index })
            }
            _ => None,
        }
    }

    /// Marks a task as done, unblocks dependent steps, and completes the job after its last task.
    fn handle_done(&mut self, position: TaskPosition, session: SessionId, run_duration: Duration) {
        let Some(job) = self.jobs.get_mut(&position.job) else {
            return;
        };
        let estimate = job.step(&job.tasks[position.index]).estimate;
        job.set_phase(position.index, TaskPhase::Done);
        job.unblock_steps();
        let is_done = job.is_done();
        if job.has_waiting_tasks() {
            self.waiting.insert(job.queue_position(position.job));
        }
        self.duration_ratio.record(run_duration, estimate);
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.health.record_success();
        }
        if is_done {
            self.finish_job(position.job, JobAnswer::Completed);
        }
    }

    /// Counts a failure of a task, and retries it or fails its job after the last attempt.
    fn handle_failed(&mut self, position: TaskPosition, session: SessionId, now: Timestamp) {
        self.counts.failed += 1;
        let Some(job) = self.jobs.get_mut(&position.job) else {
            return;
        };
        let max_attempts = job.request.max_attempts.max(1);
        let task = &mut job.tasks[position.index];
        task.failures += 1;
        task.avoided_session = Some(session);
        let failures = task.failures;
        if failures >= max_attempts {
            self.finish_job(position.job, JobAnswer::Failed);
        } else {
            self.queue_task(position);
        }
        if failures == 1 {
            // A further failure is probably caused by the task rather than the target.
            self.record_failure(session, now);
        }
    }

    /// Retries a task whose run was stuck. The runner has already recorded the failure of its target, for all dispatchers.
    fn handle_stuck(&mut self, position: TaskPosition, session: SessionId) {
        self.counts.stuck += 1;
        self.record_late_run(position);
        self.avoid_session(position, session);
        self.queue_task(position);
    }

    /// Retries a task whose run ended because its lease expired or its target died.
    fn handle_lost(&mut self, position: TaskPosition) {
        self.counts.lost += 1;
        self.queue_task(position);
    }

    /// Handles a run that was not started.
    ///
    /// `Rejected` fails a repeatable job; a kept job fails only through recorded ends. Otherwise the task is queued again, and the refusal
    /// determines whether the target is treated as full, whether a failure of it is recorded, and whether the run number is raised.
    fn handle_refused(
        &mut self,
        position: TaskPosition,
        session: SessionId,
        refusal: RunRefusal,
        now: Timestamp,
    ) {
        self.counts.refused_runs.record(refusal);
        match refusal {
            RunRefusal::NoCapacity
            | RunRefusal::NoTarget
            | RunRefusal::Draining
            | RunRefusal::Evacuated => {
                if let Some(runner) = self.sessions.get_mut(&session) {
                    runner.mark_full();
                }
            }
            RunRefusal::Unanswered | RunRefusal::Unhealthy => self.record_failure(session, now),
            RunRefusal::Rejected => {
                if !self.jobs.get(&position.job).is_some_and(Job::is_kept) {
                    self.finish_job(position.job, JobAnswer::Failed);
                    return;
                }
                if let Some(runner) = self.sessions.get_mut(&session) {
                    runner.mark_full();
                }
            }
            RunRefusal::Stale => {
                if let Some(task) = self.task_mut(position) {
                    task.next_run += STALE_RUN_STEP;
                }
            }
            RunRefusal::Expired | RunRefusal::EarlierRunOpen | RunRefusal::Withdrawn => {}
        }
        self.avoid_session(position, session);
        self.queue_task(position);
    }

    /// Makes the task prefer targets of other sessions.
    fn avoid_session(&mut self, position: TaskPosition, session: SessionId) {
        if let Some(task) = self.task_mut(position) {
            task.avoided_session = Some(session);
        }
    }

    /// Queues a task again.
    pub(super) fn queue_task(&mut self, position: TaskPosition) {
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.set_phase(position.index, TaskPhase::Waiting);
            self.waiting.insert(job.queue_position(position.job));
        }
    }
}

/// Returns whether the end of a run proves that it had started. A lost run may not have, unless its runner saw it run.
fn proves_start(outcome: RunOutcome, run_duration: Duration) -> bool {
    match outcome {
        RunOutcome::Done | RunOutcome::Failed | RunOutcome::Stopped | RunOutcome::Stuck => true,
        RunOutcome::Lost => !run_duration.is_zero(),
        RunOutcome::NotStarted(_) => false,
    }
}
