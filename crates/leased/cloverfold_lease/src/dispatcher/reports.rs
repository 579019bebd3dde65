//! Decisions that operators want to see, with what decided them.
//!
//! Owns [`DispatcherEvent`], the text of which is written by the process. Relies on the state at the moment of the decision: report first,
//! then act.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::answers::JobRefusal;
use crate::dispatcher::job::{TaskPhase, TaskPosition};
use crate::dispatcher::{Dispatcher, DispatcherAction, JobNumber};
use crate::messages::{RunOutcome, SessionId, TaskId};

/// How many targets a dispatcher knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets that accept work.
    pub ready: usize,
    /// Runners with a session, whether their targets accept work or not.
    pub connected: usize,
}

/// A decision and its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A job was refused; it has not run and never will.
    Refused {
        /// The caller's name for it.
        job: String,
        /// Why.
        cause: JobRefusal,
        /// How long it waited in the queue.
        waited: Duration,
        /// The targets at that moment.
        targets: TargetCounts,
        /// Jobs in the queue.
        waiting: usize,
        /// Age of the oldest report that the decision rests on.
        oldest_report: Duration,
    },
    /// A job was given up though parts of it may have run: its time is over.
    GivenUp {
        /// The caller's name for it.
        job: String,
        /// How long ago it was submitted.
        age: Duration,
        /// Tasks that are not done.
        open_tasks: usize,
    },
    /// A run was over without being done; its task is tried again if its job allows.
    RunEnded {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that had it.
        runner: String,
        /// How it ended.
        outcome: RunOutcome,
        /// Ends `failed` of the task so far.
        failures: u32,
    },
    /// A run took far longer than expected and is withdrawn.
    RunOverdue {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that has it.
        runner: String,
        /// How long it has run.
        age: Duration,
        /// How long it was expected to run.
        estimate: Duration,
    },
    /// A run at a slow target is withdrawn, since it ends sooner if it begins anew elsewhere.
    RunMoved {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that has it.
        runner: String,
        /// How long it has run.
        age: Duration,
        /// How slowly runs get on there, in thousandths of their estimated durations.
        slowness_permille: u32,
        /// How long the runner's report is ago.
        report_age: Duration,
    },
    /// A session ended with runs under way; they wait until they are over for certain.
    SessionLost {
        /// The runner.
        runner: String,
        /// Its runs.
        runs: usize,
        /// The jobs that they belong to, the first of them where there are many.
        jobs: Vec<String>,
        /// How old the last echo to the runner is.
        last_echo: Duration,
    },
    /// A target gets no work for a while, since its runs go wrong.
    TargetPaused {
        /// Its runner.
        runner: String,
    },
}

impl Dispatcher {
    pub(super) fn report(&mut self, event: DispatcherEvent) {
        self.actions.push(DispatcherAction::Report(event));
    }

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
                ready: self.ready_targets(now),
                connected: self.sessions.len(),
            },
            waiting: self.waiting.len(),
            // Without a session there is no report that could be old.
            oldest_report: ages.max().unwrap_or_default(),
        });
    }

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
        self.report(DispatcherEvent::RunMoved {
            task: task.id.clone(),
            run,
            runner: runner.runner.clone(),
            age: now.saturating_duration_since(since),
            slowness_permille: runner.slowness_permille(),
            report_age: runner.report_age(now),
        });
    }

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
        runner.map(|held| held.runner.clone()).unwrap_or_default()
    }
}
