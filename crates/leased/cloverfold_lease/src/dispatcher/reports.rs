//! How a decision is reported, with the state that decided it.
//!
//! Owns no state. Relies on being called before the decision is carried out, while its inputs are still there.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::actions::DispatcherAction;
use crate::dispatcher::answers::JobRefusal;
use crate::dispatcher::events::{DispatcherEvent, TargetCounts};
use crate::dispatcher::job::{JobNumber, TaskPhase, TaskPosition};
use crate::messages::{RunOutcome, SessionId};

impl Dispatcher {
    /// Asks the process to log a decision.
    pub(super) fn report(&mut self, event: DispatcherEvent) {
        self.actions.push(DispatcherAction::Report(event));
    }

    /// Reports that a job is refused; `waited` is how long it was queued.
    pub(super) fn report_refusal(
        &mut self,
        job: &str,
        cause: JobRefusal,
        waited: Duration,
        now: Timestamp,
    ) {
        let ages = self.sessions.values().map(|runner| runner.report_age(now));
        self.report(DispatcherEvent::Refused {
            job: job.into(),
            cause,
            waited,
            targets: TargetCounts {
                ready: self.count_ready_targets(now),
                connected: self.sessions.len(),
            },
            waiting: self.waiting.len(),
            // Without a session there is no report that could be old.
            oldest_report: ages.max().unwrap_or_default(),
        });
    }

    /// Reports that a job is given up because its give-up deadline has passed.
    pub(super) fn report_late(&mut self, number: JobNumber, now: Timestamp) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        self.report(DispatcherEvent::GivenUp {
            job: job.request.id.clone(),
            age: now.saturating_duration_since(job.submitted_at),
            open_tasks: job.count_open(),
        });
    }

    /// Reports that the present run of a task is overdue.
    pub(super) fn report_overdue(
        &mut self,
        position: TaskPosition,
        session: SessionId,
        now: Timestamp,
    ) {
        let Some(job) = self.jobs.get(&position.job) else {
            return;
        };
        let task = &job.tasks[position.index];
        if let TaskPhase::Assigned { run, since, .. } = task.phase {
            self.report(DispatcherEvent::RunOverdue {
                task: task.id.clone(),
                run,
                runner: self.name_runner(session),
                age: now.saturating_duration_since(since),
                estimate: job.step(task).estimate,
            });
        }
    }

    /// Reports that the present run of a task is withdrawn from a slow target.
    pub(super) fn report_moved(&mut self, position: TaskPosition, now: Timestamp) {
        let Some(task) = self.task(position) else {
            return;
        };
        let TaskPhase::Assigned {
            session,
            run,
            since,
            ..
        } = task.phase
        else {
            return;
        };
        let Some(runner) = self.sessions.get(&session) else {
            return;
        };
        self.report(DispatcherEvent::StragglerWithdrawn {
            task: task.id.clone(),
            run,
            runner: runner.runner.clone(),
            age: now.saturating_duration_since(since),
            slowness_permille: runner.slowness_permille(),
            report_age: runner.report_age(now),
        });
    }

    /// Reports the end of a run that is not done; a failure is included in the count.
    pub(super) fn report_run(
        &mut self,
        position: TaskPosition,
        session: SessionId,
        run: u64,
        outcome: RunOutcome,
    ) {
        let Some(task) = self.task(position) else {
            return;
        };
        self.report(DispatcherEvent::RunEnded {
            task: task.id.clone(),
            run,
            runner: self.name_runner(session),
            outcome,
            failures: task.failures + u32::from(outcome == RunOutcome::Failed),
        });
    }

    /// Returns the name of a session's runner; empty if the session is gone.
    fn name_runner(&self, session: SessionId) -> String {
        let runner = self.sessions.get(&session);
        runner
            .map(|session| session.runner.clone())
            .unwrap_or_default()
    }
}
