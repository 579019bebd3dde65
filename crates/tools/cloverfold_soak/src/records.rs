//! What callers, operators, targets and the soak itself have seen, on one steady clock.
//!
//! Owns the types alone. The checker reads nothing else: neither logs nor metrics of the programs.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time since the start of the soak.
pub type Elapsed = Duration;
/// The name of a job, chosen by its caller.
pub type JobName = String;
/// The name of a data hall.
pub type HallName = String;
/// Version of a configuration.
pub type Version = u64;
/// A target, by the number of the guard that it stands beside.
pub type TargetIndex = usize;

/// A process that the soak has started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Process {
    /// A control process.
    Control(usize),
    /// An entry.
    Entry(usize),
    /// A guard.
    Guard(usize),
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control(index) => write!(f, "control-{index}"),
            Self::Entry(index) => write!(f, "entry-{index}"),
            Self::Guard(index) => write!(f, "guard-{index}"),
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// All its work is done.
    Done,
    /// It failed by itself.
    Failed,
    /// It was ordered to stop.
    Stopped,
    /// Its lease was over.
    Lapsed,
    /// Its target crashed.
    Died,
}

/// One run at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job of its task.
    pub job: JobName,
    /// The number of its task in the job.
    pub task: u32,
    /// Number of the start.
    pub number: u64,
    /// Where it ran.
    pub target: TargetIndex,
    /// The life of the target.
    pub incarnation: u64,
    /// When it began.
    pub started_at: Elapsed,
    /// Whether the target carried out the order long after it came.
    pub is_late: bool,
    /// When and how it ended; `None` while it runs.
    pub end: Option<(Elapsed, RunEnd)>,
}

/// What became of one send of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole job is done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// It was not taken and never runs.
    Refused,
    /// The entry has given it up; parts may have run.
    GivenUp,
    /// The answer is none of those that there are.
    Garbled,
    /// The connection ended without a whole answer.
    Broken,
    /// The caller's own time was over.
    TimedOut,
    /// The caller left before.
    Left,
}

/// One send of a job by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The job; the same for all its sends.
    pub job: JobName,
    /// Number of its tasks.
    pub tasks: u32,
    /// Runs of a task that may fail.
    pub max_failures: u32,
    /// The entry that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub sent_at: Elapsed,
    /// What came of it; `None` while the caller waits.
    pub outcome: Option<(Elapsed, Outcome)>,
}

/// A target has told its guard that it leaves, and the guard has acknowledged it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The target.
    pub target: TargetIndex,
    /// The life of the target.
    pub incarnation: u64,
    /// When the acknowledgement came.
    pub acknowledged_at: Elapsed,
}

/// What an operator was told of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// It is taken.
    Acknowledged,
    /// It is refused for good.
    Refused,
    /// Nothing that tells.
    Unknown,
}

/// One send of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationOrder {
    /// Its version.
    pub version: Version,
    /// Whether it is valid.
    pub is_valid: bool,
    /// When it was sent.
    pub sent_at: Elapsed,
    /// When and how it was answered; `None` while the operator waits.
    pub answer: Option<(Elapsed, OrderAnswer)>,
}

/// A configuration that a control process showed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRead {
    /// Which control process.
    pub control: usize,
    /// When it was asked.
    pub asked_at: Elapsed,
    /// The version that it showed.
    pub version: Version,
    /// Whether its text is that of a valid configuration sent under this version.
    pub is_as_sent: bool,
}

/// An entry was asked whether it knows a queue that only versions from one on have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Which entry.
    pub entry: usize,
    /// The life of the entry's process.
    pub life: u64,
    /// When it was asked.
    pub asked_at: Elapsed,
    /// When it answered.
    pub answered_at: Elapsed,
    /// The first version that has the queue.
    pub version: Version,
    /// The last version that has it.
    pub last_version: Version,
    /// Whether it knows the queue.
    pub is_known: bool,
}

/// What an operator orders for a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallAction {
    /// To empty it.
    Evacuate,
    /// To use it again.
    TakeBack,
}

/// A wish for a data hall, sent until it was acknowledged; one operator at a time cares for a hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// The hall.
    pub hall: HallName,
    /// What is wanted.
    pub wish: HallAction,
    /// When it was sent first.
    pub sent_at: Elapsed,
    /// When it was acknowledged; `None` if it never was.
    pub acknowledged_at: Option<Elapsed>,
}

/// The evacuated halls that a control process showed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallRead {
    /// Which control process.
    pub control: usize,
    /// When it was asked.
    pub asked_at: Elapsed,
    /// When it answered.
    pub answered_at: Elapsed,
    /// The halls.
    pub halls: Vec<HallName>,
}

/// What a fault of the soak touches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// These processes, and the links to and from them.
    Processes(Vec<Process>),
    /// A target and the calls between it and its guard.
    Target(TargetIndex),
    /// Everything.
    All,
}

/// A fault of the soak, or planned work, from its beginning until all that it touched was whole again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disturbance {
    /// What it touches.
    pub scope: Scope,
    /// Whether it is planned work.
    pub is_planned: bool,
    /// When it began.
    pub from: Elapsed,
    /// When it was over; `None` while it lasts.
    pub until: Option<Elapsed>,
}

/// A process was asked to stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The process.
    pub process: Process,
    /// When it was asked.
    pub asked_at: Elapsed,
    /// When it had exited; `None` while it stops.
    pub exited_at: Option<Elapsed>,
}

/// A process exited without being asked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnexpectedExit {
    /// The process.
    pub process: Process,
    /// When that was seen.
    pub at: Elapsed,
}

/// Everything that was seen up to a moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// How far the records go.
    pub now: Elapsed,
    /// Whether the soak is over: what has not happened by now never will.
    pub is_over: bool,
    /// All runs, in no order.
    pub runs: Vec<Run>,
    /// All sends of callers.
    pub attempts: Vec<Attempt>,
    /// All acknowledged announcements of targets that leave.
    pub drains: Vec<Drain>,
    /// All sends of configurations.
    pub configuration_orders: Vec<ConfigurationOrder>,
    /// All configurations shown.
    pub configuration_reads: Vec<ConfigurationRead>,
    /// All probes of entries.
    pub probes: Vec<Probe>,
    /// All wishes for data halls, in order for each hall.
    pub hall_orders: Vec<HallOrder>,
    /// All lists of evacuated halls.
    pub hall_reads: Vec<HallRead>,
    /// The data hall of each target.
    pub target_halls: Vec<HallName>,
    /// All faults and planned work.
    pub disturbances: Vec<Disturbance>,
    /// All planned stops.
    pub stops: Vec<PlannedStop>,
    /// All processes that ended by themselves.
    pub own_ends: Vec<UnexpectedExit>,
}
