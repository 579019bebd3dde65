//! What a soak does and when, all of it drawn from a seed or read from a file.
//!
//! Owns the types; `draw` draws a plan, `file` reads and writes one. The same seed gives the same plan; when the system carries out what the plan says, which of two
//! messages is first, and where a job is placed stay undetermined.

mod draw;
mod draw_faults;
mod file;

use serde::{Deserialize, Serialize};

pub use draw::{PlanLength, generate_fault_free_plan, generate_plan};
pub use file::{PlanFileError, read_plan, write_plan};

use crate::records::{HallName, Process, TargetIndex};

/// Milliseconds since the start of the soak, or a span of so many.
pub type Millis = u64;

/// Number of control processes of the installation.
pub const CONTROL_COUNT: usize = 3;
/// Number of entries of the installation.
pub const ENTRY_COUNT: usize = 3;
/// Number of guards of the installation, each with a target.
pub const GUARD_COUNT: usize = 5;
/// The data halls; processes of each kind are spread over them in turn.
pub const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Returns all processes of the installation.
pub fn list_processes() -> Vec<Process> {
    let controls = (0..CONTROL_COUNT).map(Process::Control);
    let entries = (0..ENTRY_COUNT).map(Process::Entry);
    let guards = (0..GUARD_COUNT).map(Process::Guard);
    controls.chain(entries).chain(guards).collect()
}

/// Everything that a soak does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// How long the soak lasts.
    pub length: Millis,
    /// What callers send.
    pub jobs: Vec<PlannedJob>,
    /// What goes wrong, and planned work.
    pub faults: Vec<PlannedFault>,
    /// What operators order.
    pub orders: Vec<PlannedOrder>,
}

/// A job of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedJob {
    /// When it is sent.
    pub at: Millis,
    /// The entry that it goes to; another one that is ready if this one is not.
    pub entry: usize,
    /// Number of its tasks.
    pub tasks: u32,
    /// How long each task works.
    pub work: Millis,
    /// What its caller does.
    pub manner: CallerBehavior,
}

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerBehavior {
    /// Waits, and sends again what got no answer.
    Patient,
    /// As a patient one, and sends again what was refused.
    Insistent,
    /// Leaves after a while.
    Leaves {
        /// After how long.
        after: Millis,
    },
}

/// A fault, or planned work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// When it begins.
    pub at: Millis,
    /// What it is.
    pub fault: Fault,
}

/// The direction in which a link carries no traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CutDirection {
    /// Neither way.
    Both,
    /// Away from the side that is named first.
    Outwards,
    /// Towards it.
    Inwards,
}

/// What goes wrong, or is planned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Fault {
    /// A process is asked to stop and started again after its exit.
    Stop {
        /// Which.
        process: Process,
        /// How long it stays away.
        away: Millis,
    },
    /// A process is killed and started again.
    Kill {
        /// Which.
        process: Process,
        /// How long it stays away.
        away: Millis,
    },
    /// A process stands still.
    Pause {
        /// Which.
        process: Process,
        /// How long.
        lasts: Millis,
    },
    /// A control process is killed and started again with an empty folder.
    LoseDisk {
        /// Which.
        control: usize,
        /// How long it stays away.
        away: Millis,
    },
    /// All processes are killed at once and started again.
    KillAll {
        /// How long they stay away.
        away: Millis,
        /// The control process whose folder is empty then.
        lost_disk: Option<usize>,
    },
    /// Nothing passes between two sides.
    Cut {
        /// One side.
        side: Vec<Process>,
        /// The other side.
        other: Vec<Process>,
        /// Which way.
        way: CutDirection,
        /// How long.
        lasts: Millis,
    },
    /// Nothing passes between a process and its callers, operators or target.
    CutOff {
        /// Which process.
        process: Process,
        /// Which way, from the process.
        way: CutDirection,
        /// How long.
        lasts: Millis,
    },
    /// All links to a process are delayed.
    Delay {
        /// Which process.
        process: Process,
        /// By how much.
        by: Millis,
        /// How long.
        lasts: Millis,
    },
    /// All open connections to a process are reset.
    Reset {
        /// Which process.
        process: Process,
    },
    /// All open connections to a process go silent for good; new ones work.
    Silence {
        /// Which process.
        process: Process,
    },
    /// A target misbehaves.
    Target {
        /// Which.
        target: TargetIndex,
        /// How.
        fault: TargetFault,
        /// How long.
        lasts: Millis,
    },
}

impl Fault {
    /// Returns whether this is planned work.
    pub fn is_planned(&self) -> bool {
        let leaves = matches!(
            self,
            Self::Target {
                fault: TargetFault::Leave,
                ..
            }
        );
        leaves || matches!(self, Self::Stop { .. })
    }
}

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetFault {
    /// It crashes; a late registration of the old life may come so long after the new one has begun.
    Crash {
        /// The delay of the late registration, if one comes.
        late_registration: Option<Millis>,
    },
    /// Runs never end.
    Hang,
    /// Runs fail.
    Fail,
    /// Orders are carried out late.
    Late {
        /// By how much.
        by: Millis,
    },
    /// Orders are not answered.
    Unanswering,
    /// Starts get 503.
    Unhealthy,
    /// It says that it leaves, ends, and another life comes up.
    Leave,
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedOrder {
    /// When it is sent first.
    pub at: Millis,
    /// The control process that it is sent to first.
    pub control: usize,
    /// What is ordered.
    pub order: OperatorOrder,
}

/// What an operator orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorOrder {
    /// A valid configuration of a higher version, sent until it is acknowledged.
    Configure,
    /// Two such at the same moment, to two control processes.
    Race,
    /// The newest acknowledged configuration once more.
    Repeat,
    /// A configuration whose queues name a service that there is not.
    Unsound,
    /// A configuration that breaks off.
    Unreadable,
    /// A hall is evacuated, and taken back a while after the acknowledgement.
    Evacuate {
        /// Which hall.
        hall: HallName,
        /// How long after.
        lasts: Millis,
    },
}
