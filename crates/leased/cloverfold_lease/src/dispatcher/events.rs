//! Decisions that operators want to see, with what decided them.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::{Dispatcher, DispatcherAction, JobNumber, JobRefusal, TaskPhase};
use crate::messages::{RunOutcome, SessionId, TaskId};

/// A decision and its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A job was refused; it has not run and never will.
    Refused {
        /// The caller's name for it.
        job: String,
        /// Why.
        cause: JobRefusal,
        /// How long it was held.
        held: Duration,
        /// Targets that took work then, and all that were in touch.
        targets: (usize, usize),
        /// Jobs that waited.
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
    /// A session ended with runs under way; they wait until they are surely over.
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
        held: Duration,
        now: Timestamp,
    ) {
        let ages = self.targets.values().map(|view| view.report_age(now));
        self.report(DispatcherEvent::Refused {
            job: job.into(),
            cause,
            held,
            targets: (self.ready_targets(now), self.targets.len()),
            waiting: self.waiting.len(),
            oldest_report: ages.max().unwrap_or_default(),
        });
    }

    pub(super) fn report_late(&mut self, number: JobNumber, now: Timestamp) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let is_open = |phase: &TaskPhase| *phase != TaskPhase::Done;
        self.report(DispatcherEvent::GivenUp {
            job: job.request.id.clone(),
            age: now.saturating_duration_since(job.submitted_at),
            open_tasks: job.tasks.iter().filter(|task| is_open(&task.phase)).count(),
        });
    }

    pub(super) fn report_overdue(
        &mut self,
        number: JobNumber,
        index: usize,
        session: SessionId,
        now: Timestamp,
    ) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let task = &job.tasks[index];
        if let TaskPhase::Assigned { run, since, .. } = task.phase {
            let event = DispatcherEvent::RunOverdue {
                task: task.id.clone(),
                run,
                runner: self.name_runner(session),
                age: now.saturating_duration_since(since),
                estimate: job.step(task).estimate,
            };
            self.report(event);
        }
    }

    pub(super) fn report_moved(&mut self, number: JobNumber, index: usize, now: Timestamp) {
        let Some(task) = self.jobs.get(&number).map(|job| &job.tasks[index]) else {
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
        let Some(view) = self.targets.get(&session) else {
            return;
        };
        let event = DispatcherEvent::RunMoved {
            task: task.id.clone(),
            run,
            runner: view.runner.clone(),
            age: now.saturating_duration_since(since),
            slowness_permille: view.slowness_permille(),
            report_age: view.report_age(now),
        };
        self.report(event);
    }

    pub(super) fn report_run(
        &mut self,
        (number, index): (JobNumber, usize),
        session: SessionId,
        run: u64,
        outcome: RunOutcome,
    ) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let task = &job.tasks[index];
        let event = DispatcherEvent::RunEnded {
            task: task.id.clone(),
            run,
            runner: self.name_runner(session),
            outcome,
            failures: task.failures + u32::from(outcome == RunOutcome::Failed),
        };
        self.report(event);
    }

    pub(super) fn name_runner(&self, session: SessionId) -> String {
        let view = self.targets.get(&session);
        view.map(|view| view.runner.clone()).unwrap_or_default()
    }
}
