//! Types of the recorded history: observations of callers, operators, targets and the soak itself, on one monotonic clock.
//!
//! The checker reads only this history, not the logs or metrics of the programs.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time since the start of the soak.
pub type Elapsed = Duration;
/// The name of a job, chosen by its caller.
pub type JobName = String;
/// The name of a data hall.
pub type HallName = String;
/// The version of a configuration.
pub type Version = u64;
/// The index of a target, which is that of its guard.
pub type TargetIndex = usize;

/// A process of the installation.
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
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// The target crashed.
    Died,
}

/// One run of a task at a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The job.
    pub job: JobName,
    /// The index of the task in the job.
    pub task: u32,
    /// The run number of the start order.
    pub number: u64,
    /// The target.
    pub target: TargetIndex,
    /// The incarnation of the target.
    pub incarnation: u64,
    /// Start of the run.
    pub started_at: Elapsed,
    /// Whether a fault delayed the execution of the start order at the target.
    pub is_late: bool,
    /// Time and cause of the end; `None` while the run is active.
    pub end: Option<(Elapsed, RunEnd)>,
}

/// The outcome of one attempt of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The answer says that all tasks are done.
    Completed,
    /// The answer says that a task has reached its failure limit.
    Failed,
    /// The entry refused the job, which never runs.
    Refused,
    /// The entry gave up the job, of which parts may have run.
    GivenUp,
    /// The answer is not part of the protocol.
    #[serde(rename = "Garbled")]
    ProtocolViolation,
    /// The connection ended before a complete answer.
    #[serde(rename = "Broken")]
    ConnectionLost,
    /// The caller reached its timeout.
    TimedOut,
    /// The caller disconnected before the answer.
    #[serde(rename = "Left")]
    Disconnected,
}

/// One attempt of a caller to submit a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The job, which is the same for all its attempts.
    pub job: JobName,
    /// Number of tasks.
    pub tasks: u32,
    /// Failures of one task after which the job fails.
    pub max_failures: u32,
    /// The entry.
    pub entry: usize,
    /// Time of the attempt.
    pub sent_at: Elapsed,
    /// Time and kind of the outcome; `None` while the caller waits.
    pub outcome: Option<(Elapsed, Outcome)>,
}

/// A drain that a target announced and its guard acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// The target.
    pub target: TargetIndex,
    /// The incarnation of the target.
    pub incarnation: u64,
    /// Time of the acknowledgement.
    pub acknowledged_at: Elapsed,
}

/// The answer to an order of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The order is acknowledged.
    Acknowledged,
    /// The order is refused permanently.
    Refused,
    /// There is no answer, or it leaves the result open.
    Unknown,
}

/// One attempt to send a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationOrder {
    /// The version.
    pub version: Version,
    /// Whether the configuration is valid.
    pub is_valid: bool,
    /// Time of the attempt.
    pub sent_at: Elapsed,
    /// Time and kind of the answer; `None` while the operator waits.
    pub answer: Option<(Elapsed, OrderAnswer)>,
}

/// A configuration that a control process returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationRead {
    /// The control process.
    pub control: usize,
    /// Time of the request.
    #[serde(rename = "asked_at")]
    pub requested_at: Elapsed,
    /// The returned version.
    pub version: Version,
    /// Whether the text equals that of a valid configuration that was sent with this version.
    pub is_as_sent: bool,
}

/// A probe whether an entry knows a queue that exists only in a range of versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The entry.
    pub entry: usize,
    /// Incarnation number of the entry's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of the request.
    #[serde(rename = "asked_at")]
    pub requested_at: Elapsed,
    /// Time of the answer.
    pub answered_at: Elapsed,
    /// The first version with the queue.
    pub version: Version,
    /// The last version with the queue.
    pub last_version: Version,
    /// Whether the entry knows the queue.
    pub is_known: bool,
}

/// What an operator orders for a data hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HallAction {
    /// Start an evacuation.
    Evacuate,
    /// End the evacuation.
    TakeBack,
}

/// An order for a data hall, repeated until it is acknowledged. Only one operator at a time gives orders for a hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallOrder {
    /// The data hall.
    pub hall: HallName,
    /// The ordered action.
    #[serde(rename = "wish")]
    pub action: HallAction,
    /// Time of the first attempt.
    pub sent_at: Elapsed,
    /// Time of the acknowledgement; `None` if there is none.
    pub acknowledged_at: Option<Elapsed>,
}

/// The list of evacuated data halls that a control process returned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallRead {
    /// The control process.
    pub control: usize,
    /// Time of the request.
    #[serde(rename = "asked_at")]
    pub requested_at: Elapsed,
    /// Time of the answer.
    pub answered_at: Elapsed,
    /// The data halls.
    pub halls: Vec<HallName>,
}

/// What a disturbance affects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Some processes, and the links to and from them.
    Processes(Vec<Process>),
    /// A target, and the calls between it and its guard.
    Target(TargetIndex),
    /// Everything.
    All,
}

/// A fault or planned work, from its start until everything that it affected has recovered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disturbance {
    /// What it affects.
    pub scope: Scope,
    /// Whether it is planned work.
    pub is_planned: bool,
    /// Start.
    pub from: Elapsed,
    /// End; `None` while it is active.
    pub until: Option<Elapsed>,
}

/// A planned stop of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The process.
    pub process: Process,
    /// Time of the stop request.
    #[serde(rename = "asked_at")]
    pub requested_at: Elapsed,
    /// Time of the exit; `None` while the process is stopping.
    pub exited_at: Option<Elapsed>,
}

/// A process exited without being asked to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnexpectedExit {
    /// The process.
    pub process: Process,
    /// Time at which the exit was observed.
    pub at: Elapsed,
}

/// All observations up to a time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Time up to which the history is complete.
    pub now: Elapsed,
    /// Whether the soak is over, so that what is still missing never happens.
    pub is_over: bool,
    /// All runs, unordered.
    pub runs: Vec<Run>,
    /// All attempts of callers.
    pub attempts: Vec<Attempt>,
    /// All acknowledged drains.
    pub drains: Vec<Drain>,
    /// All attempts to send a configuration.
    pub configuration_orders: Vec<ConfigurationOrder>,
    /// All configuration reads.
    pub configuration_reads: Vec<ConfigurationRead>,
    /// All probes of entries.
    pub probes: Vec<Probe>,
    /// All orders for data halls, ordered by time within a hall.
    pub hall_orders: Vec<HallOrder>,
    /// All reads of the evacuated data halls.
    pub hall_reads: Vec<HallRead>,
    /// The data hall of each target.
    pub target_halls: Vec<HallName>,
    /// All faults and planned work.
    pub disturbances: Vec<Disturbance>,
    /// All planned stops.
    pub stops: Vec<PlannedStop>,
    /// All unexpected exits.
    #[serde(rename = "own_ends")]
    pub unexpected_exits: Vec<UnexpectedExit>,
}
