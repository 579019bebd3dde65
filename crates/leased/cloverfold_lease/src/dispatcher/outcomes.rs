//! What follows from the end of a run.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::job::TaskPhase;
use crate::dispatcher::{Dispatcher, EndingRun, JobAnswer, JobNumber};
use crate::messages::{RunOutcome, RunRefusal, SessionId, TaskId};

/// How far the run number rises when a target has seen a later run: above what another submission can have used.
const STALE_RUN_STEP: u64 = 50;
/// Weight of the newest run in the usual ratio of durations to estimates.
const RATIO_WEIGHT: f64 = 0.02;
/// Ratios further off say more about the estimate than about the target.
const RATIO_BOUNDS: (f64, f64) = (0.2, 8.0);

impl Dispatcher {
    pub(super) fn run_ended(
        &mut self,
        session: SessionId,
        id: &TaskId,
        run: u64,
        outcome: RunOutcome,
        ran: Duration,
        now: Timestamp,
    ) {
        if self.ending.get(id) == Some(&EndingRun::At { session, run }) {
            self.ending.remove(id);
            return;
        }
        let Some((number, index)) = self.find_run(id, session, run) else {
            return;
        };
        if outcome != RunOutcome::Done {
            self.report_run((number, index), session, run, outcome);
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.has_run |= !matches!(outcome, RunOutcome::NotStarted(_));
        }
        match outcome {
            RunOutcome::Done => self.run_done(number, index, session, ran),
            RunOutcome::Failed => self.run_failed(number, index, session, now),
            RunOutcome::Stopped => self.run_again(number, index),
            RunOutcome::Stuck => self.run_stuck(number, index, session),
            RunOutcome::Lost => {
                self.counts.lost += 1;
                self.run_again(number, index);
            }
            RunOutcome::NotStarted(refusal) => {
                self.counts.given_back += 1;
                self.run_refused(number, index, session, refusal, now);
            }
        }
    }

    fn find_run(&self, id: &TaskId, from: SessionId, of: u64) -> Option<(JobNumber, usize)> {
        let number = *self.numbers.get(&id.job)?;
        let job = self.jobs.get(&number)?;
        let index = job.find_task(id)?;
        match job.tasks[index].phase {
            TaskPhase::Assigned { session, run, .. } if session == from && run == of => {
                Some((number, index))
            }
            _ => None,
        }
    }

    fn run_done(&mut self, number: JobNumber, index: usize, session: SessionId, ran: Duration) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let estimate = job.step(&job.tasks[index]).estimate;
        job.tasks[index].phase = TaskPhase::Done;
        job.unblock_steps();
        let is_done = job.is_done();
        if job.has_waiting() {
            self.waiting.insert((job.request.priority, number));
        }
        if !estimate.is_zero() {
            let ratio = ran.as_secs_f64() / estimate.as_secs_f64();
            let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            self.usual_ratio += RATIO_WEIGHT * (ratio - self.usual_ratio);
            if let Some(view) = self.targets.get_mut(&session) {
                view.health.note_success();
            }
        }
        if is_done {
            self.give_up(number, JobAnswer::Completed);
        }
    }

    fn run_failed(&mut self, number: JobNumber, index: usize, session: SessionId, now: Timestamp) {
        self.counts.failed += 1;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let most = job.request.max_attempts.max(1);
        let task = &mut job.tasks[index];
        task.failures += 1;
        task.avoided = Some(session);
        let is_first = task.failures == 1;
        if task.failures >= most {
            self.give_up(number, JobAnswer::Failed);
        } else {
            self.run_again(number, index);
        }
        if is_first {
            // A task that fails again elsewhere is probably at fault itself.
            self.note_trouble(session, now);
        }
    }

    /// The runner has judged its target already, for all dispatchers; here only this task is begun elsewhere.
    fn run_stuck(&mut self, number: JobNumber, index: usize, session: SessionId) {
        self.counts.stuck += 1;
        if let Some(job) = self.jobs.get_mut(&number) {
            job.tasks[index].avoided = Some(session);
        }
        self.run_again(number, index);
    }

    fn run_refused(
        &mut self,
        number: JobNumber,
        index: usize,
        session: SessionId,
        refusal: RunRefusal,
        now: Timestamp,
    ) {
        match refusal {
            RunRefusal::NoRoom | RunRefusal::NoTarget | RunRefusal::Draining => {
                if let Some(view) = self.targets.get_mut(&session) {
                    view.note_full();
                }
            }
            RunRefusal::Unanswered | RunRefusal::Unhealthy => self.note_trouble(session, now),
            RunRefusal::Rejected => {
                self.give_up(number, JobAnswer::Failed);
                return;
            }
            RunRefusal::Stale => {
                if let Some(job) = self.jobs.get_mut(&number) {
                    job.tasks[index].next_run += STALE_RUN_STEP;
                }
            }
            RunRefusal::Expired | RunRefusal::Held | RunRefusal::Withdrawn => {}
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.tasks[index].avoided = Some(session);
        }
        self.run_again(number, index);
    }

    fn run_again(&mut self, number: JobNumber, index: usize) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.tasks[index].phase = TaskPhase::Waiting;
            self.waiting.insert((job.request.priority, number));
        }
    }
}
