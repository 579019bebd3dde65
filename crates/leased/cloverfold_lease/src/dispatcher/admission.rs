//! Which jobs are refused or given up without an end of a run.
//!
//! | when | condition | answer, `cause` in the log | bound |
//! |---|---|---|---|
//! | at the submission | the process is leaving | refused, `Leaving` | – |
//! | at the submission | no target of the service accepts work, and the process has not just started or been stalled | refused, `NoTarget` | `STARTUP_PERIOD` in `startup`, `CatchUp` in `stall` |
//! | at the queue deadline | no task was ever offered to a target, or all came back unstarted | refused, `NoRoom`, or `NoTarget` if none of the service accepts work | `QUEUE_WAIT_SHARE` in `deadlines`, `STANDING_WAIT_SHARE` while the queue stands |
//! | grace over, or at the give-up deadline | nothing has run or may yet run | refused, `NoRoom` | `GRACE_FACTOR`, `ANSWERED_SHARE` in `deadlines` |
//! | grace over, and a task waits for a place | parts may have run | given up | `GRACE_FACTOR` in `deadlines` |
//! | at the give-up deadline | parts may have run | given up | `ANSWERED_SHARE` in `deadlines` |
//! | at the first call after a stall | callers may have left and asked elsewhere | all open jobs given up | [`JOB_STALL_LIMIT`] |
//!
//! None of this holds for kept jobs: they are refused before they are accepted (`kept_admission`) or not at all.
//!
//! `NoRoom` is the written name of [`JobRefusal::NoCapacity`]. The entry itself refuses with `Stalled`, before a job comes here; see
//! `stall`.
//!
//! A job is refused only if none of its tasks has run or may yet run: its caller may then submit it again without loss.
//!
//! Owns no state. Relies on the deadlines of `deadlines` and on the sessions that are open.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::{JobAnswer, JobRefusal};
use crate::dispatcher::job::{Job, JobNumber};
use crate::dispatcher::runner_session::RunnerSession;
use crate::request::JobRequest;
use crate::stall::JOB_STALL_LIMIT;
use crate::startup::is_starting;

impl Dispatcher {
    /// Returns why a job is refused at its submission, if there is a reason.
    pub(super) fn find_refusal(&self, request: &JobRequest, now: Timestamp) -> Option<JobRefusal> {
        if self.is_draining {
            return Some(JobRefusal::Leaving);
        }
        if self.catch_up.is_active(now) || is_starting(now) {
            return None;
        }
        let has_target = self.has_target(&request.service, now);
        (!has_target).then_some(JobRefusal::NoTarget)
    }

    /// Returns whether a target of a service accepts work.
    fn has_target(&self, service: &str, now: Timestamp) -> bool {
        let can_run = |runner: &RunnerSession| runner.accepts_work(now) && runner.serves(service);
        self.sessions.values().any(can_run)
    }

    /// Refuses a job at its submission.
    pub(super) fn refuse_at_once(
        &mut self,
        number: JobNumber,
        id: &str,
        cause: JobRefusal,
        now: Timestamp,
    ) {
        self.report_refusal(id, cause, Duration::ZERO, now);
        self.answer(number, JobAnswer::refused(cause));
    }

    /// Refuses the jobs whose queue deadline is over, and gives up those whose time is over.
    pub(super) fn end_late_jobs(&mut self, now: Timestamp) {
        for number in self.list_waited_out(now) {
            self.refuse_queued(number, now);
        }
        for number in self.list_expired(now) {
            if self.jobs.get(&number).is_some_and(Job::may_have_run) {
                self.report_late(number, now);
                self.finish_job(number, JobAnswer::GivenUp);
            } else {
                self.refuse_queued(number, now);
            }
        }
    }

    /// Lists the jobs that were not offered to a target before their queue deadline.
    fn list_waited_out(&self, now: Timestamp) -> Vec<JobNumber> {
        let is_waited_out = |job: &Job| {
            !job.is_kept() && !job.may_have_run() && now >= self.queue_deadline(job, now)
        };
        self.waiting
            .iter()
            .map(|position| position.job)
            .filter(|number| self.jobs.get(number).is_some_and(is_waited_out))
            .collect()
    }

    /// Returns until when a job may wait to be offered to a target.
    fn queue_deadline(&self, job: &Job, now: Timestamp) -> Timestamp {
        if self.standing_queues.is_standing(&job.request.queue, now) {
            job.deadlines.standing_queue
        } else {
            job.deadlines.queue
        }
    }

    /// Lists the jobs that are no longer worked on: their callers leave, or their grace is over and a task has no place.
    fn list_expired(&self, now: Timestamp) -> Vec<JobNumber> {
        let is_over = |job: &Job| {
            now >= job.deadlines.give_up || (job.is_past_grace(now) && job.has_waiting())
        };
        let open = self.jobs.iter();
        open.filter(|(_, job)| !job.is_kept() && is_over(job))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Refuses a job of which nothing has run.
    fn refuse_queued(&mut self, number: JobNumber, now: Timestamp) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let cause = if self.has_target(&job.request.service, now) {
            JobRefusal::NoCapacity
        } else {
            JobRefusal::NoTarget
        };
        let id = job.request.id.clone();
        let waited = now.saturating_duration_since(job.submitted_at);
        self.report_refusal(&id, cause, waited, now);
        self.finish_job(number, JobAnswer::refused(cause));
    }

    /// Gives up all open jobs that need not be kept if the process was stalled for more than [`JOB_STALL_LIMIT`] since the last call: a caller may have left
    /// meanwhile and asked elsewhere, and nothing may be started for it any more. Called before anything else in each call of the dispatcher.
    pub(super) fn give_up_after_stall(&mut self, now: Timestamp) {
        let gap = now.saturating_duration_since(self.last_call_at);
        self.last_call_at = now;
        if gap <= JOB_STALL_LIMIT {
            return;
        }
        // What is kept is driven on as long as the lease of its driver is valid, however long the stall was.
        let open = self.jobs.iter().filter(|(_, job)| !job.is_kept());
        let open: Vec<JobNumber> = open.map(|(number, _)| *number).collect();
        for number in open {
            self.counts.stalled += 1;
            self.finish_job(number, JobAnswer::GivenUp);
        }
    }
}
