//! Decisions that are logged for operators, with their inputs.
//!
//! The process writes the text of the log lines.

use std::time::Duration;

use crate::dispatcher::answers::JobRefusal;
use crate::dispatcher::waiting_jobs::WaitingJobs;
use crate::messages::{RunOutcome, TaskId};

/// Number of targets known to a dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets that accept work.
    pub ready: usize,
    /// Runners with an open session, including those whose target accepts no work.
    pub connected: usize,
}

/// A decision and its inputs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatcherEvent {
    /// A job was refused; none of its tasks has run or will run.
    Refused {
        /// The name that its caller chose.
        job: String,
        /// The reason.
        cause: JobRefusal,
        /// How long it waited in the queue.
        waited: Duration,
        /// The targets at that time.
        targets: TargetCounts,
        /// Number of queued jobs.
        waiting: usize,
        /// Age of the oldest of the runner reports that the decision is based on.
        oldest_report: Duration,
    },
    /// A job was given up because it expired; some of its tasks may have run.
    GivenUp {
        /// The name that its caller chose.
        job: String,
        /// Time since its submission.
        age: Duration,
        /// Number of tasks that are not done.
        open_tasks: usize,
    },
    /// A run ended without being done; its task is retried unless its attempts are used up.
    RunEnded {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that executed it.
        runner: String,
        /// The outcome of the run.
        outcome: RunOutcome,
        /// Number of failures of the task so far.
        failures: u32,
    },
    /// A run takes far longer than expected and is withdrawn.
    RunOverdue {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that executes it.
        runner: String,
        /// Time since it was assigned.
        age: Duration,
        /// The estimated duration.
        estimate: Duration,
    },
    /// A run on a slow target is withdrawn because it ends earlier if it restarts on another.
    StragglerWithdrawn {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The runner that executes it.
        runner: String,
        /// Time since it was assigned.
        age: Duration,
        /// Current duration of runs on the target, in thousandths of their estimated durations.
        slowness_permille: u32,
        /// Age of the runner's report.
        report_age: Duration,
    },
    /// A session closed with runs in progress; their tasks wait until the runs have certainly ended.
    SessionLost {
        /// The runner.
        runner: String,
        /// Number of its runs in progress.
        runs: usize,
        /// Names of their jobs, up to a limit.
        jobs: Vec<String>,
        /// Time since the last echo to the runner.
        last_echo: Duration,
    },
    /// Jobs have waited for a target for long.
    JobsWaiting {
        /// The waiting jobs after the latest pass over the queue.
        jobs: WaitingJobs,
        /// Time since the submission of the oldest one.
        oldest: Duration,
    },
    /// A target is paused because too many of its runs fail.
    TargetPaused {
        /// The runner of the target.
        runner: String,
    },
}
