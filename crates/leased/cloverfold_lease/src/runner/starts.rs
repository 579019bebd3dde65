//! Start orders: sending, answers and retries.
//!
//! Retrying a start is idempotent: it carries the same run number and deadline, and the target acknowledges a run that it already has.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, TaskId};
use crate::runner::answers::{StartAnswer, StartRefusal};
use crate::runner::orders::StartOrder;
use crate::runner::refused_start::{RefusedStartStep, step_after_refused_start};
use crate::runner::run::PendingStart;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Sends the first start of a waiting run.
    pub(super) fn start_run(&mut self, task: &TaskId, now: Timestamp) {
        let Some(deadline) = self.extend_lease(now) else {
            return;
        };
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        run.begin_start(deadline, now);
        let start = run.pending_start();
        self.send_start(task, start);
    }

    /// Sends a start order with the deadline and attempt of `start`; does nothing for `None`.
    fn send_start(&mut self, task: &TaskId, start: Option<PendingStart>) {
        let (Some(target), Some(run), Some(start)) = (&self.target, self.runs.get(task), start)
        else {
            return;
        };
        let order = StartOrder {
            incarnation: target.registration.incarnation.clone(),
            address: target.registration.address.clone(),
            task: task.clone(),
            run: run.number,
            spec: run.spec.clone(),
            deadline: start.deadline,
            fencing_token: target.fencing_token,
            attempt: start.attempts,
            timeout: self.timings.order_timeout,
        };
        self.counts.calls.starts += 1;
        self.actions.push(RunnerAction::Start(order));
    }

    /// Processes the answer to a start.
    ///
    /// If the run is no longer starting, the answer only updates the target's clock and fencing token. The answer to an order for another
    /// incarnation is ignored, since its clock reading may be of that incarnation.
    pub fn receive_start_answer(
        &mut self,
        order: &StartOrder,
        answer: StartAnswer,
        now: Timestamp,
    ) {
        self.expire_sessions(now);
        if !self.update_from_start_answer(order, answer, now) {
            return;
        }
        let run = self.runs.get_mut(&order.task);
        let Some(run) = run.filter(|run| run.number == order.run) else {
            return;
        };
        let Some(start) = run.pending_start() else {
            return;
        };
        match answer {
            StartAnswer::Started { .. } => {
                run.confirm_start(now);
                self.counts.started += 1;
            }
            StartAnswer::Refused(refusal, _) => {
                self.receive_start_refusal(&order.task, refusal, start.attempts, now);
            }
            StartAnswer::Unanswered => self.retry_start(&order.task, now),
        }
    }

    /// Updates the target's clock and fencing token from an answer; returns whether it concerns the current incarnation.
    fn update_from_start_answer(
        &mut self,
        order: &StartOrder,
        answer: StartAnswer,
        now: Timestamp,
    ) -> bool {
        let Some(target) = self.target_of_incarnation(&order.incarnation) else {
            return false;
        };
        if let Some(clock) = answer.clock() {
            target.record_clock(clock, now);
        }
        if matches!(answer, StartAnswer::Refused(StartRefusal::Fenced, _)) {
            target.raise_fencing_token(order.fencing_token);
        }
        true
    }

    /// Carries out the reaction to a refusal, see [`step_after_refused_start`].
    fn receive_start_refusal(
        &mut self,
        task: &TaskId,
        refusal: StartRefusal,
        attempts: u32,
        now: Timestamp,
    ) {
        match step_after_refused_start(refusal, attempts) {
            RefusedStartStep::Replace if self.is_evacuated => {
                // A start with a later deadline would be a new start in an evacuated data hall.
                self.end_run(task, RunOutcome::NotStarted(RunRefusal::Evacuated), now);
            }
            RefusedStartStep::Replace if self.is_target_held() => {
                // A run that starts now would be lost when the box goes down.
                self.end_run(task, RunOutcome::NotStarted(RunRefusal::Draining), now);
            }
            RefusedStartStep::Replace => self.replace_start(task, now),
            RefusedStartStep::Retry => self.retry_start(task, now),
            RefusedStartStep::Refuse(reason) => {
                self.end_run(task, RunOutcome::NotStarted(reason), now);
            }
            RefusedStartStep::StopThenRefuse(reason) => {
                self.stop_run(task, RunOutcome::NotStarted(reason), now);
            }
        }
    }

    /// Sends a start with a new deadline in place of the only one before, which was refused and so has no effect.
    fn replace_start(&mut self, task: &TaskId, now: Timestamp) {
        let Some(deadline) = self.extend_lease(now) else {
            return;
        };
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let start = run.replace_start(deadline, now);
        self.send_start(task, start);
    }

    /// Sends the same start again while attempts are left.
    fn retry_start(&mut self, task: &TaskId, now: Timestamp) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let Some(start) = run.retry_start(now) else {
            return;
        };
        self.counts.repeated_starts += 1;
        self.send_start(task, Some(start));
    }

    /// Retries starts without an answer for [`Timings::start_timeout`](crate::Timings::start_timeout).
    ///
    /// Skips an unresponsive target, which would not answer a retry either.
    pub(super) fn retry_unanswered_starts(&mut self, now: Timestamp) {
        let target = self.target.as_ref();
        if target.is_some_and(|target| target.is_unresponsive) {
            return;
        }
        let timeout = self.timings.start_timeout;
        let is_due = |start: PendingStart| now >= start.last_sent_at + timeout;
        let due: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.pending_start().is_some_and(is_due))
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            self.retry_start(&task, now);
        }
    }
}
