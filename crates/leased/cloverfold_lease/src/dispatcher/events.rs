//! Decisions that operators want to see, with what decided them.
//!
//! Owns [`DispatcherEvent`]; the process writes the text of the log lines.

use std::time::Duration;

use crate::dispatcher::answers::JobRefusal;
use crate::messages::{RunOutcome, TaskId};

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
    /// A run at a slow target is withdrawn, since it ends sooner if it restarts elsewhere.
    StragglerWithdrawn {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that has it.
        runner: String,
        /// How long it has run.
        age: Duration,
        /// How slowly runs advance there, in thousandths of their estimated durations.
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
