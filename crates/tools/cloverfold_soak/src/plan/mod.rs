//! The plan of a soak: jobs, faults and operator orders with their times.
//!
//! `generate` generates a plan from a seed, and `file` reads and writes one. The same seed always gives the same plan, but its execution is
//! not deterministic: timing, message order and job placement vary.

mod file;
mod generate;
mod generate_faults;

use serde::{Deserialize, Serialize};

pub use file::{PlanFileError, read_plan, write_plan};
pub use generate::{PlanLength, generate_fault_free_plan, generate_plan};

use crate::records::{HallName, Process, TargetIndex};

/// Milliseconds since the start of the soak, or a duration in milliseconds.
pub type Millis = u64;

/// Number of control processes of the installation.
pub const CONTROL_COUNT: usize = 3;
/// Number of entries of the installation.
pub const ENTRY_COUNT: usize = 3;
/// Number of guards of the installation, each with a target.
pub const GUARD_COUNT: usize = 5;
/// Data halls, assigned round-robin to the processes of each kind.
pub const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Returns all processes of the installation.
pub fn list_processes() -> Vec<Process> {
    let controls = (0..CONTROL_COUNT).map(Process::Control);
    let entries = (0..ENTRY_COUNT).map(Process::Entry);
    let guards = (0..GUARD_COUNT).map(Process::Guard);
    controls.chain(entries).chain(guards).collect()
}

/// The workload, the faults and the operator orders of a soak.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that it was generated from.
    pub seed: u64,
    /// Duration of the soak.
    pub length: Millis,
    /// Jobs of callers.
    pub jobs: Vec<PlannedJob>,
    /// Faults and planned work.
    pub faults: Vec<PlannedFault>,
    /// Orders of operators.
    pub orders: Vec<PlannedOrder>,
}

/// A job and the behavior of its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedJob {
    /// Time of the first attempt.
    pub at: Millis,
    /// The preferred entry; the caller uses the next ready one if it is not ready.
    pub entry: usize,
    /// Number of tasks.
    pub tasks: u32,
    /// Duration of each task.
    #[serde(rename = "work")]
    pub task_duration: Millis,
    /// Behavior of the caller.
    #[serde(rename = "manner")]
    pub behavior: CallerBehavior,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerBehavior {
    /// Waits for the answer, and retries if there is none.
    Patient,
    /// Like [`CallerBehavior::Patient`], and also retries after a refusal.
    Insistent,
    /// Disconnects before the answer.
    #[serde(rename = "Leaves")]
    Disconnects {
        /// Time until it disconnects.
        after: Millis,
    },
}

/// A fault, or planned work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Start time.
    pub at: Millis,
    /// The fault.
    pub fault: Fault,
}

/// The direction in which a link carries no traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Direction {
    /// Both directions.
    Both,
    /// From the first side to the second.
    #[serde(rename = "Outwards")]
    Outbound,
    /// From the second side to the first.
    #[serde(rename = "Inwards")]
    Inbound,
}

/// A fault or planned work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A planned stop: a process receives SIGTERM and restarts after its exit.
    Stop {
        /// The process.
        process: Process,
        /// Downtime before the restart.
        #[serde(rename = "away")]
        downtime: Millis,
    },
    /// A process is killed and restarted.
    Kill {
        /// The process.
        process: Process,
        /// Downtime before the restart.
        #[serde(rename = "away")]
        downtime: Millis,
    },
    /// A process is suspended.
    Pause {
        /// The process.
        process: Process,
        /// Duration of the suspension.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// A control process is killed and restarted with an empty data folder.
    LoseDisk {
        /// The control process.
        control: usize,
        /// Downtime before the restart.
        #[serde(rename = "away")]
        downtime: Millis,
    },
    /// All processes are killed at once and restarted.
    KillAll {
        /// Downtime before the restart.
        #[serde(rename = "away")]
        downtime: Millis,
        /// The control process that loses its data folder.
        lost_disk: Option<usize>,
    },
    /// A network partition between two sets of processes.
    #[serde(rename = "Cut")]
    Partition {
        /// One side.
        side: Vec<Process>,
        /// The other side.
        other: Vec<Process>,
        /// The blocked direction, seen from `side`.
        #[serde(rename = "way")]
        direction: Direction,
        /// Duration of the partition.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// A partition between a process and its callers, operators or target.
    #[serde(rename = "CutOff")]
    ExternalPartition {
        /// The process.
        process: Process,
        /// The blocked direction, seen from the process.
        #[serde(rename = "way")]
        direction: Direction,
        /// Duration of the partition.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// All links to a process are delayed.
    Delay {
        /// The process.
        process: Process,
        /// Added delay.
        #[serde(rename = "by")]
        delay: Millis,
        /// Duration of the fault.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
    /// All open connections to a process are reset.
    Reset {
        /// The process.
        process: Process,
    },
    /// All open connections to a process drop all further traffic; new connections work.
    #[serde(rename = "Silence")]
    Blackhole {
        /// The process.
        process: Process,
    },
    /// A target fault, or the planned restart of a target.
    Target {
        /// The target.
        target: TargetIndex,
        /// The fault.
        fault: TargetFault,
        /// Duration of the fault.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
}

impl Fault {
    /// Returns whether this is planned work.
    pub fn is_planned(&self) -> bool {
        let is_planned_restart = matches!(
            self,
            Self::Target {
                fault: TargetFault::PlannedRestart,
                ..
            }
        );
        is_planned_restart || matches!(self, Self::Stop { .. })
    }
}

/// A fault or the planned restart of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetFault {
    /// The target crashes and restarts; a delayed registration of the old incarnation may arrive after the new one has started.
    Crash {
        /// Delay of that registration after the restart; `None` if there is none.
        late_registration: Option<Millis>,
    },
    /// Runs never end.
    Hang,
    /// Runs fail.
    Fail,
    /// Orders are executed late.
    Late {
        /// Added delay.
        #[serde(rename = "by")]
        delay: Millis,
    },
    /// Orders get no answer.
    #[serde(rename = "Unanswering")]
    DropAnswers,
    /// Starts are answered with 503.
    Unhealthy,
    /// A planned restart: the target announces a drain, exits, and starts a new incarnation.
    #[serde(rename = "Leave")]
    PlannedRestart,
}

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedOrder {
    /// Time of the first attempt.
    pub at: Millis,
    /// The control process of the first attempt.
    pub control: usize,
    /// The order.
    pub order: Order,
}

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Sends a valid configuration with a higher version until it is acknowledged.
    Configure,
    /// Sends two such configurations at the same time, to two control processes.
    Race,
    /// Sends the newest acknowledged configuration again.
    Repeat,
    /// Sends a configuration whose queues name an unknown service.
    #[serde(rename = "Unsound")]
    Invalid,
    /// Sends a truncated configuration.
    #[serde(rename = "Unreadable")]
    Malformed,
    /// Evacuates a data hall, and ends the evacuation some time after the acknowledgement.
    Evacuate {
        /// The data hall.
        hall: HallName,
        /// Time from the acknowledgement to the end of the evacuation.
        #[serde(rename = "lasts")]
        duration: Millis,
    },
}
