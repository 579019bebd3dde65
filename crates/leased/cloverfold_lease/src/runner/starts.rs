//! Starts and stops, and what becomes of them.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{Refusal, RunOutcome, TaskId};
use crate::runner::held::HeldState;
use crate::runner::orders::{StartAnswer, StartOrder, StartRefusal, StopOrder};
use crate::runner::{Runner, RunnerAction};
use crate::timings::TargetTime;

/// Starts of one run that are sent at the most.
const MAX_START_ATTEMPTS: u32 = 6;
/// How long a stop may go unheeded before it is sent again.
const STOP_REPEAT: Duration = Duration::from_millis(120);

impl Runner {
    pub(super) fn start_task(&mut self, task: &TaskId, now: Timestamp) {
        let lease = self.timings.lease;
        let (Some(target), Some(held)) = (&mut self.target, self.tasks.get_mut(task)) else {
            return;
        };
        let Some(deadline) = target.next_deadline(now, lease) else {
            return;
        };
        target.latest_deadline = target.latest_deadline.max(deadline);
        held.state = HeldState::Starting {
            deadline,
            since: now,
            sent_at: now,
            attempts: 1,
        };
        self.order_start(task.clone(), 1, deadline);
    }

    fn order_start(&mut self, task: TaskId, attempt: u32, deadline: TargetTime) {
        let (Some(target), Some(held)) = (&self.target, self.tasks.get(&task)) else {
            return;
        };
        let order = StartOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            run: held.run,
            spec: held.spec.clone(),
            deadline,
            token: target.token,
            attempt,
            limit: self.timings.order_timeout,
            task,
        };
        self.actions.push(RunnerAction::Start(order));
    }

    pub(super) fn order_stop(&mut self, task: TaskId, run: u64) {
        let Some(target) = &self.target else {
            return;
        };
        let order = StopOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            task,
            run,
            token: target.token,
            limit: self.timings.order_timeout,
        };
        self.actions.push(RunnerAction::Stop(order));
    }

    /// Takes the answer to a start.
    pub fn start_answered(&mut self, order: &StartOrder, answer: StartAnswer, now: Timestamp) {
        self.expire_sessions(now);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.registration.instance != order.instance {
            return;
        }
        let clock = match answer {
            StartAnswer::Started { clock } => Some(clock),
            StartAnswer::Refused(_, clock) => clock,
            StartAnswer::Unanswered => None,
        };
        if let Some(clock) = clock {
            target.read_clock(clock, now);
        }
        if answer == StartAnswer::Refused(StartRefusal::Fenced, clock) {
            target.raise_token(order.token);
        }
        let Some(held) = self.tasks.get_mut(&order.task) else {
            return;
        };
        let HeldState::Starting {
            since, attempts, ..
        } = held.state
        else {
            return;
        };
        if held.run != order.run {
            return;
        }
        match answer {
            StartAnswer::Started { .. } => {
                held.state = HeldState::Running { since: now };
                held.started_at = Some(since);
                self.counts.started += 1;
            }
            StartAnswer::Refused(refusal, _) => {
                self.start_refused(order, refusal, attempts, now);
            }
            StartAnswer::Unanswered => self.repeat_start(&order.task, now),
        }
    }

    fn start_refused(
        &mut self,
        order: &StartOrder,
        refusal: StartRefusal,
        attempts: u32,
        now: Timestamp,
    ) {
        let reason = match refusal {
            StartRefusal::Fenced | StartRefusal::Late if attempts < MAX_START_ATTEMPTS => {
                if attempts == 1 {
                    self.restart_with_new_deadline(&order.task, now);
                } else {
                    self.repeat_start(&order.task, now);
                }
                return;
            }
            StartRefusal::Fenced | StartRefusal::Late | StartRefusal::OtherInstance => {
                Refusal::NoTarget
            }
            StartRefusal::Stale => Refusal::Stale,
            StartRefusal::NoRoom => Refusal::NoRoom,
            StartRefusal::Unhealthy => Refusal::Unhealthy,
            StartRefusal::Unreachable => Refusal::Unanswered,
            StartRefusal::Invalid => Refusal::Rejected,
        };
        let outcome = RunOutcome::NotStarted(reason);
        if attempts == 1 {
            // The only start that was sent has done nothing.
            self.end_task(&order.task, outcome, now);
        } else {
            self.stop_task(order.task.clone(), outcome, now);
        }
    }

    /// Sends a start anew whose only predecessor was refused and so can do nothing later.
    fn restart_with_new_deadline(&mut self, task: &TaskId, now: Timestamp) {
        let lease = self.timings.lease;
        let (Some(target), Some(held)) = (&mut self.target, self.tasks.get_mut(task)) else {
            return;
        };
        let Some(new_deadline) = target.next_deadline(now, lease) else {
            return;
        };
        target.latest_deadline = target.latest_deadline.max(new_deadline);
        if let HeldState::Starting {
            deadline,
            sent_at,
            attempts,
            ..
        } = &mut held.state
        {
            *deadline = new_deadline;
            *sent_at = now;
            *attempts += 1;
            let attempt = *attempts;
            self.order_start(task.clone(), attempt, new_deadline);
        }
    }

    /// Sends the same start again: the target takes a run that is there as started.
    fn repeat_start(&mut self, task: &TaskId, now: Timestamp) {
        let Some(held) = self.tasks.get_mut(task) else {
            return;
        };
        if let HeldState::Starting {
            deadline,
            sent_at,
            attempts,
            ..
        } = &mut held.state
        {
            if *attempts >= MAX_START_ATTEMPTS {
                return;
            }
            *attempts += 1;
            *sent_at = now;
            let (attempt, deadline) = (*attempts, *deadline);
            self.counts.repeated_starts += 1;
            self.order_start(task.clone(), attempt, deadline);
        }
    }

    /// Sends starts and stops again whose effect has not shown.
    pub(super) fn repeat_orders(&mut self, now: Timestamp) {
        let patience = self.timings.start_timeout;
        // A target that answers nothing at all answers no further start either.
        let is_silent = self.target.as_ref().is_some_and(|target| target.is_silent);
        let mut starts = Vec::new();
        let mut stops = Vec::new();
        for (task, held) in &mut self.tasks {
            match &mut held.state {
                HeldState::Starting { sent_at, .. } if now >= *sent_at + patience && !is_silent => {
                    starts.push(task.clone());
                }
                HeldState::Stopping { sent_at, .. } if now >= *sent_at + STOP_REPEAT => {
                    *sent_at = now;
                    stops.push((task.clone(), held.run));
                }
                _ => {}
            }
        }
        for task in starts {
            self.repeat_start(&task, now);
        }
        for (task, run) in stops {
            self.order_stop(task, run);
        }
    }
}
