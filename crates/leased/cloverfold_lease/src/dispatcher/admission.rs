//! Refusing and giving up jobs for reasons other than the end of a run.
//!
//! A job is refused only if none of its tasks has run or can still run, so that its caller may submit it again without wasting work.
//! Otherwise it is given up. The name in parentheses is the cause in logs and answers: `NoRoom` is the written name of
//! [`JobRefusal::NoCapacity`] and `Leaving` that of [`JobRefusal::Draining`].
//!
//! At submission, a job is refused if
//!
//! - the process is draining (`Leaving`);
//! - no target of its service accepts work (`NoTarget`), unless the process has just started (`startup`) or is catching up after a stall
//!   (`stall`).
//!
//! At its queue deadline, a job is refused if none of its tasks was assigned or all were returned without a start (`NoRoom`, or `NoTarget`
//! if no target of its service accepts work).
//!
//! An accepted job ends
//!
//! - when its grace period is over and any task waits for a target: it is refused (`NoRoom` or `NoTarget`) if nothing can have run, and
//!   given up otherwise;
//! - at its give-up deadline, in the same way;
//! - at the first call after a stall longer than [`JOB_STALL_LIMIT`], when all open jobs are given up, because their callers may have
//!   resubmitted them elsewhere.
//!
//! None of this applies to kept jobs: they are refused before they are accepted (`kept_admission`) or not at all. The entry itself refuses
//! requests with `Stalled` before they become jobs; see `stall`.
//!
//! The deadlines are defined in `deadlines`.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::{JobAnswer, JobRefusal};
use crate::dispatcher::job::{Job, JobNumber};
use crate::request::JobRequest;
use crate::stall::JOB_STALL_LIMIT;
use crate::startup::is_starting;

impl Dispatcher {
    /// Returns why a job must be refused at its submission, or `None` if it is accepted.
    pub(super) fn find_refusal(&self, request: &JobRequest, now: Timestamp) -> Option<JobRefusal> {
        if self.is_draining {
            return Some(JobRefusal::Draining);
        }
        if self.catch_up.is_active(now) || is_starting(now) {
            return None;
        }
        let has_target = self.has_target_for_service(&request.service, now);
        (!has_target).then_some(JobRefusal::NoTarget)
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

    /// Refuses the jobs whose queue deadline has passed, and refuses or gives up those that have expired.
    pub(super) fn end_expired_jobs(&mut self, now: Timestamp) {
        for number in self.list_queue_timeouts(now) {
            self.refuse_queued(number, now);
        }
        for number in self.list_expired(now) {
            if self.jobs.get(&number).is_some_and(Job::may_have_run) {
                self.report_given_up(number, now);
                self.finish_job(number, JobAnswer::GivenUp);
            } else {
                self.refuse_queued(number, now);
            }
        }
    }

    /// Returns the waiting jobs that were not assigned to a target before their queue deadline.
    fn list_queue_timeouts(&self, now: Timestamp) -> Vec<JobNumber> {
        let is_timed_out = |job: &Job| {
            !job.is_kept() && !job.may_have_run() && now >= self.queue_deadline(job, now)
        };
        self.waiting
            .iter()
            .map(|position| position.job)
            .filter(|number| self.jobs.get(number).is_some_and(is_timed_out))
            .collect()
    }

    /// Returns the time until which a job may wait for its first assignment.
    fn queue_deadline(&self, job: &Job, now: Timestamp) -> Timestamp {
        if self.standing_queues.is_standing(&job.request.queue, now) {
            job.deadlines.standing_queue
        } else {
            job.deadlines.queue
        }
    }

    /// Returns the jobs whose give-up deadline has passed, or whose grace period is over while a task waits.
    fn list_expired(&self, now: Timestamp) -> Vec<JobNumber> {
        let is_over = |job: &Job| {
            now >= job.deadlines.give_up || (job.is_past_grace(now) && job.has_waiting_tasks())
        };
        let open = self.jobs.iter();
        open.filter(|(_, job)| !job.is_kept() && is_over(job))
            .map(|(number, _)| *number)
            .collect()
    }

    /// Refuses an accepted job of which nothing can have run.
    fn refuse_queued(&mut self, number: JobNumber, now: Timestamp) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let cause = if self.has_target_for_service(&job.request.service, now) {
            JobRefusal::NoCapacity
        } else {
            JobRefusal::NoTarget
        };
        let id = job.request.id.clone();
        let waited = now.saturating_duration_since(job.submitted_at);
        self.report_refusal(&id, cause, waited, now);
        self.finish_job(number, JobAnswer::refused(cause));
    }

    /// Gives up all open repeatable jobs if the latest call was more than [`JOB_STALL_LIMIT`] ago.
    ///
    /// A caller may have disconnected meanwhile and resubmitted its job elsewhere, so nothing may be started for it any more. Must be
    /// called first in each call of the dispatcher.
    pub(super) fn give_up_after_stall(&mut self, now: Timestamp) {
        let gap = now.saturating_duration_since(self.last_call_at);
        self.last_call_at = now;
        if gap <= JOB_STALL_LIMIT {
            return;
        }
        // Kept jobs continue: only the lease of their driver determines whether they are still driven here.
        let open = self.jobs.iter().filter(|(_, job)| !job.is_kept());
        let open: Vec<JobNumber> = open.map(|(number, _)| *number).collect();
        for number in open {
            self.counts.stalled += 1;
            self.finish_job(number, JobAnswer::GivenUp);
        }
    }
}
