//! What follows from the end of a run.
//!
//! | outcome | the task | the target |
//! |---|---|---|
//! | `Done` | is done | credited |
//! | `Failed` | is tried elsewhere until its attempts are used up; then the job has failed | blamed for the task's first failure |
//! | `Stopped`, `Lost` | is queued again | – |
//! | `Stuck` | is retried elsewhere; no attempt is counted | judged by its runner already |
//! | `NotStarted` | is retried elsewhere; `Rejected` fails a job that need not be kept | full, or blamed if it did not answer or can't work |
//!
//! Owns no state. Relies on the runner to report an end only when the run is over.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::JobAnswer;
use crate::dispatcher::closing::DetachedRun;
use crate::dispatcher::job::{Job, JobNumber, TaskPhase, TaskPosition};
use crate::messages::{RunOutcome, RunRefusal, SessionId, TaskId};

/// How far the run number rises when a target has seen a later run: above what another submission can have used, also where the
/// wall clocks of two entries differ by five seconds (run numbers count tenths of seconds).
const STALE_RUN_STEP: u64 = 50;

impl Dispatcher {
    /// Handles the end of a run that a runner reports; `ran` is how long it ran there.
    pub(super) fn run_ended(
        &mut self,
        session: SessionId,
        id: &TaskId,
        run: u64,
        outcome: RunOutcome,
        ran: Duration,
        now: Timestamp,
    ) {
        if self.detached_runs.get(id) == Some(&DetachedRun::At { session, run }) {
            self.detached_runs.remove(id);
            return;
        }
        let Some(position) = self.find_run(id, session, run) else {
            return;
        };
        if outcome != RunOutcome::Done {
            self.report_run(position, session, run, outcome);
        }
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.has_run |= !matches!(outcome, RunOutcome::NotStarted(_));
        }
        self.observe_kept_end(position, run, outcome);
        match outcome {
            RunOutcome::Done => self.run_done(position, session, ran),
            RunOutcome::Failed => self.run_failed(position, session, now),
            RunOutcome::Stopped => self.queue_task(position),
            RunOutcome::Stuck => self.run_stuck(position, session),
            RunOutcome::Lost => self.run_lost(position),
            RunOutcome::NotStarted(refusal) => self.run_refused(position, session, refusal, now),
        }
    }

    /// Returns the task that is assigned to a session as this run.
    fn find_run(&self, id: &TaskId, from: SessionId, of: u64) -> Option<TaskPosition> {
        let number: JobNumber = *self.open_jobs_by_name.get(&id.job)?;
        let job = self.jobs.get(&number)?;
        let index = job.find_task(id)?;
        match job.tasks[index].phase {
            TaskPhase::Assigned { session, run, .. } if session == from && run == of => {
                Some(TaskPosition { job: number, index })
            }
            _ => None,
        }
    }

    /// Marks a task as done, unblocks the steps after it, and completes the job if it was the last.
    fn run_done(&mut self, position: TaskPosition, session: SessionId, ran: Duration) {
        let Some(job) = self.jobs.get_mut(&position.job) else {
            return;
        };
        let estimate = job.step(&job.tasks[position.index]).estimate;
        job.tasks[position.index].phase = TaskPhase::Done;
        job.unblock_steps();
        let is_done = job.is_done();
        if job.has_waiting() {
            self.waiting.insert(job.queue_position(position.job));
        }
        self.duration_ratio.record(ran, estimate);
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.health.record_success();
        }
        if is_done {
            self.finish_job(position.job, JobAnswer::Completed);
        }
    }

    /// Counts a failure of a task: it is retried elsewhere, or its job fails after the last attempt.
    fn run_failed(&mut self, position: TaskPosition, session: SessionId, now: Timestamp) {
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
            // A task that fails again elsewhere is probably at fault itself.
            self.record_failure(session, now);
        }
    }

    /// The runner has judged its target already, for all dispatchers; here only this task is retried elsewhere.
    fn run_stuck(&mut self, position: TaskPosition, session: SessionId) {
        self.counts.stuck += 1;
        self.record_late_run(position);
        self.avoid_session(position, session);
        self.queue_task(position);
    }

    /// Retries a task whose run ended because its lease lapsed or its target died.
    fn run_lost(&mut self, position: TaskPosition) {
        self.counts.lost += 1;
        self.queue_task(position);
    }

    /// Handles a run that was not started. `Rejected` fails the job unless it is kept, which only recorded ends may do; otherwise the task is queued again, and the reason decides whether
    /// the target counts as full, whether it is blamed, and whether the run number rises.
    fn run_refused(
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
                    runner.record_full();
                }
            }
            RunRefusal::Unanswered | RunRefusal::Unhealthy => self.record_failure(session, now),
            RunRefusal::Rejected => {
                if !self.jobs.get(&position.job).is_some_and(Job::is_kept) {
                    self.finish_job(position.job, JobAnswer::Failed);
                    return;
                }
                if let Some(runner) = self.sessions.get_mut(&session) {
                    runner.record_full();
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

    /// Makes the task prefer other targets than that of this session.
    fn avoid_session(&mut self, position: TaskPosition, session: SessionId) {
        if let Some(task) = self.task_mut(position) {
            task.avoided_session = Some(session);
        }
    }

    /// Queues a task again, to wait for a target.
    pub(super) fn queue_task(&mut self, position: TaskPosition) {
        if let Some(job) = self.jobs.get_mut(&position.job) {
            job.tasks[position.index].phase = TaskPhase::Waiting;
            self.waiting.insert(job.queue_position(position.job));
        }
    }
}
