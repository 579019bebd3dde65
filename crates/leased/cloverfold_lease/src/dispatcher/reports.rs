//! Reports of decisions, with the state that led to them.
//!
//! A decision is reported before it is carried out, while its inputs are still available.

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

    /// Reports that a job is refused after it was queued for `waited`.
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
            // Zero if there is no session.
            oldest_report: ages.max().unwrap_or_default(),
        });
    }

    /// Reports that a job is given up because it has expired.
    pub(super) fn report_given_up(&mut self, number: JobNumber, now: Timestamp) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        self.report(DispatcherEvent::GivenUp {
            job: job.request.id.clone(),
            age: now.saturating_duration_since(job.submitted_at),
            open_tasks: job.count_open_tasks(),
        });
    }

    /// Reports that the current run of a task is overdue.
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
        if let TaskPhase::Assigned { run, since, .. } = task.phase() {
            self.report(DispatcherEvent::RunOverdue {
                task: task.id.clone(),
                run,
                runner: self.runner_name(session),
                age: now.saturating_duration_since(since),
                estimate: job.step(task).estimate,
            });
        }
    }

    /// Reports that the current run of a task is withdrawn from a slow target.
    pub(super) fn report_straggler(&mut self, position: TaskPosition, now: Timestamp) {
        let Some(task) = self.task(position) else {
            return;
        };
        let TaskPhase::Assigned {
            session,
            run,
            since,
            ..
        } = task.phase()
        else {
            return;
        };
        let Some(runner) = self.sessions.get(&session) else {
            return;
        };
        self.report(DispatcherEvent::StragglerWithdrawn {
            task: task.id.clone(),
            run,
            runner: runner.runner_name.clone(),
            age: now.saturating_duration_since(since),
            slowness_permille: runner.slowness_permille(),
            report_age: runner.report_age(now),
        });
    }

    /// Reports the end of a run that is not done; the reported number of failures includes this run.
    pub(super) fn report_run_end(
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
            runner: self.runner_name(session),
            outcome,
            failures: task.failures + u32::from(outcome == RunOutcome::Failed),
        });
    }

    /// Returns the name of a session's runner, or an empty string if the session is closed.
    fn runner_name(&self, session: SessionId) -> String {
        let runner = self.sessions.get(&session);
        runner
            .map(|session| session.runner_name.clone())
            .unwrap_or_default()
    }
}
