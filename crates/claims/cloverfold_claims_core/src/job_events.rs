//! Events and actions that [`crate::JobProgress`] exchanges with its driver.
//!
//! These types are not sent over the wire.

use crate::fence::{ReleaseResult, TaskEnd};
use crate::outcome::Outcome;
use crate::{GuardId, Placement, TaskIndex};

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Assign a task to a placement, or ask for its end if it was assigned there before.
    Assign {
        /// The task.
        task: TaskIndex,
        /// The placement.
        place: Placement,
        /// Guards that had the task before; the placement must not forward it to them.
        previous_guards: Vec<GuardId>,
        /// Whether the placement may forward the task to another guard.
        may_pass_on: bool,
    },
    /// Ask a placement to release a task.
    Release {
        /// The task.
        task: TaskIndex,
        /// The placement that has the task.
        place: Placement,
        /// The next placement; `None` abandons the task.
        to: Option<Placement>,
    },
    /// Answer the caller; returned at most once.
    Answer(Outcome),
}

/// An event that the driver reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// A placement reported the end of a task there.
    Ended {
        /// The task.
        task: TaskIndex,
        /// The placement.
        place: Placement,
        /// How the task ended.
        end: TaskEnd,
    },
    /// A placement answered a release.
    ReleaseAnswered {
        /// The task.
        task: TaskIndex,
        /// The placement.
        place: Placement,
        /// The result of the release.
        verdict: ReleaseResult,
    },
    /// A placement of a task restarted or was unreachable for too long.
    PlacementLost {
        /// The task.
        task: TaskIndex,
        /// The placement.
        place: Placement,
    },
}

impl JobEvent {
    /// Returns the task and the placement of the event.
    pub(crate) fn origin(&self) -> (TaskIndex, Placement) {
        match self {
            Self::Ended { task, place, .. }
            | Self::ReleaseAnswered { task, place, .. }
            | Self::PlacementLost { task, place } => (*task, *place),
        }
    }
}

/// What [`crate::JobProgress`] needs to handle an event.
pub struct EventContext<'a> {
    /// Placements for a task that has to move, best first.
    pub next_placements: Vec<Placement>,
    /// Spends one retry of the process's retry budget; returns whether the budget allows it.
    pub take_retry: &'a mut dyn FnMut() -> bool,
}
