//! Messages between dispatchers and runners.
//!
//! The link preserves the order of messages. The encoding depends on the order of fields and variants (recorded in `compatibility/`), not
//! on their names.

use std::fmt;

use cloverfold_base::Timestamp;
use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Identifies a session, that is a link between a dispatcher and a runner, within one process.
pub type SessionId = u64;

/// Identifies a task across all its runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Name of the job, chosen by the caller.
    pub job: String,
    /// Repetition of the job's steps, starting at 0.
    pub repetition: u32,
    /// Index of the step in the job.
    pub step: u32,
    /// Index of the task in the step.
    pub index: u32,
}

/// Assignment of a run to a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// Number of the run; it increases with each run of the task, also across submissions of the job.
    pub run: u64,
    /// Work description for the target; opaque to this crate.
    pub spec: String,
    /// Resources that the task uses.
    pub demand: Resources,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Maximum time that it waits at the runner for free capacity, in milliseconds.
    pub wait_ms: u32,
    /// Estimated duration of the run, in milliseconds.
    pub estimate_ms: u32,
    /// Time at which the assignment expires, on the runner's clock: the end of the session as known to the dispatcher.
    pub valid_until: Timestamp,
}

/// Assignment of a run of a kept job, whose end must be recorded before the target may forget it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAssignment {
    /// The run.
    pub assignment: Assignment,
    /// Epoch in which the sender drives the job.
    pub epoch: u64,
    /// Index of the task among all tasks of its job.
    pub index_in_job: u32,
}

/// Usual speed of a target, as measured by its runner. Only a hint; the message may be lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsualSpeed {
    /// Usual duration of runs on the target, in thousandths of their estimated durations; 0 if unknown.
    pub slowness_permille: u32,
    /// Number of runs that this is based on.
    pub runs: u32,
}

/// Message from a dispatcher to a runner. [`Self::AssignKept`] is sent only to runners whose build can decode it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DispatcherMessage {
    /// Echoes the runner's latest clock reading, which extends the session.
    Echo {
        /// The clock reading.
        clock: Timestamp,
    },
    /// Assigns a run.
    Assign(Assignment),
    /// Tells the runner to stop a run, or to return it if it has not started.
    Withdraw {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
    },
    /// Assigns a run of a kept job.
    AssignKept(KeptAssignment),
}

/// Why a run was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunRefusal {
    /// There was no free capacity in time. Written `NoRoom`.
    NoCapacity,
    /// The runner has no target that accepts work.
    NoTarget,
    /// The target is draining.
    Draining,
    /// The assignment arrived after its session had expired.
    Expired,
    /// The runner still has an earlier run of this task that may not have ended. Written `Held`.
    EarlierRunOpen,
    /// The target has already seen this run or a later one.
    Stale,
    /// The target did not answer, and the run was certainly not started.
    Unanswered,
    /// The target is currently unable to work.
    Unhealthy,
    /// The target rejected the order as invalid.
    Rejected,
    /// The dispatcher withdrew the run before it started.
    Withdrawn,
    /// The data hall is evacuated. Sent only to dispatchers whose build can decode it; others receive `Draining`.
    Evacuated,
}

impl RunRefusal {
    /// All variants, in order.
    pub const ALL: [Self; 11] = [
        Self::NoCapacity,
        Self::NoTarget,
        Self::Draining,
        Self::Expired,
        Self::EarlierRunOpen,
        Self::Stale,
        Self::Unanswered,
        Self::Unhealthy,
        Self::Rejected,
        Self::Withdrawn,
        Self::Evacuated,
    ];

    /// Returns the stable name that is used in logs and answers.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoCapacity => "NoRoom",
            Self::NoTarget => "NoTarget",
            Self::Draining => "Draining",
            Self::Expired => "Expired",
            Self::EarlierRunOpen => "Held",
            Self::Stale => "Stale",
            Self::Unanswered => "Unanswered",
            Self::Unhealthy => "Unhealthy",
            Self::Rejected => "Rejected",
            Self::Withdrawn => "Withdrawn",
            Self::Evacuated => "Evacuated",
        }
    }
}

/// How a run ended. With every outcome, the run has certainly ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run completed its work.
    Done,
    /// The run failed because of the task or the target.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run made no progress and was stopped by its runner.
    Stuck,
    /// The lease of the target expired or the target died.
    Lost,
    /// The run was not started.
    NotStarted(RunRefusal),
}

impl fmt::Display for RunOutcome {
    /// Writes the stable name that is used in logs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Done => f.write_str("Done"),
            Self::Failed => f.write_str("Failed"),
            Self::Stopped => f.write_str("Stopped"),
            Self::Stuck => f.write_str("Stuck"),
            Self::Lost => f.write_str("Lost"),
            Self::NotStarted(refusal) => write!(f, "NotStarted({})", refusal.as_str()),
        }
    }
}

/// Free capacity of a runner's target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeCapacity {
    /// Capacity that running and waiting assignments leave free; negative if they do not all fit.
    pub free: Resources,
    /// Number of assignments since the start of the session that this accounts for.
    pub assignments_seen: u64,
    /// Current duration of runs on the target, in thousandths of their estimated durations; 0 if unknown.
    pub slowness_permille: u32,
}

/// A target that accepts work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetDescription {
    /// Identifies the incarnation of the target; it changes when the target restarts.
    pub incarnation: String,
    /// Service that the target runs.
    pub service: String,
    /// Total capacity.
    pub capacity: Resources,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<String>,
}

/// Targets that a kept job needs. An entry that sees none of them requests them from the control processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetNeed {
    /// Service of the targets.
    pub service: String,
    /// Label that they must have, if any.
    pub label: Option<String>,
}

/// A run whose start the target has confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
}

/// Message from a runner to a dispatcher. A build that does not know [`RunRefusal::Evacuated`] receives the result of
/// [`Self::without_evacuated`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerMessage {
    /// Periodic message that shows that the runner is alive. Answered by an echo.
    Heartbeat {
        /// Clock reading of the runner, to be echoed.
        clock: Timestamp,
        /// Free capacity of its target.
        free_capacity: FreeCapacity,
    },
    /// The free capacity of its target has changed. Not echoed.
    FreeCapacity(FreeCapacity),
    /// Announces the target, or `None` if it accepts no work. Sent only while no run of an earlier session is left there.
    Target(Option<TargetDescription>),
    /// A run has ended or was not started.
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        run: u64,
        /// The outcome of the run.
        outcome: RunOutcome,
        /// Duration of the run as observed by the runner, in milliseconds; 0 if its start was not confirmed.
        ran_ms: u32,
        /// Free capacity after the run.
        free_capacity: FreeCapacity,
    },
    /// Usual speed of its target. Sent only to dispatchers and control processes whose build can decode it.
    UsualSpeed(UsualSpeed),
    /// Runs of the dispatcher that have started since the last heartbeat and have not ended. Sent only to dispatchers whose build can
    /// decode it.
    Started(Vec<StartedRun>),
}

impl RunnerMessage {
    /// Returns the message for a dispatcher that does not know [`RunRefusal::Evacuated`], with `Draining` instead.
    #[must_use]
    pub fn without_evacuated(self) -> Self {
        match self {
            Self::Ended {
                task,
                run,
                outcome: RunOutcome::NotStarted(RunRefusal::Evacuated),
                ran_ms,
                free_capacity,
            } => Self::Ended {
                task,
                run,
                outcome: RunOutcome::NotStarted(RunRefusal::Draining),
                ran_ms,
                free_capacity,
            },
            other => other,
        }
    }
}
