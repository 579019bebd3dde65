//! What passes between [`crate::JobProgress`] and its driver: events in, actions out.
//!
//! Plain values; nothing here is sent over the wire as it is.

use crate::fence::{ReleaseResult, TaskEnd};
use crate::outcome::Outcome;
use crate::{GuardId, Placement, TaskIndex};

/// What the driver is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Give a task to a place, or ask how it goes if the place has it.
    Assign {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
        /// Guards that had the task before; the place may pass it on to others.
        previous_guards: Vec<GuardId>,
        /// Whether the place may pass the task on.
        may_pass_on: bool,
    },
    /// Ask a place to give up a task.
    Release {
        /// The task.
        task: TaskIndex,
        /// The place that has it.
        place: Placement,
        /// Where it goes, or nowhere.
        to: Option<Placement>,
    },
    /// Tell the caller; comes exactly once.
    Answer(Outcome),
}

/// What the driver has learnt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// A place reports how a task ended there.
    Ended {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
        /// How it ended.
        end: TaskEnd,
    },
    /// A place answered a release.
    ReleaseAnswered {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
        /// Its answer.
        verdict: ReleaseResult,
    },
    /// A place has restarted or stayed out of reach, with what it had of a task.
    PlacementLost {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
    },
}

impl JobEvent {
    /// Returns the task and the place that the event is about.
    pub(crate) fn origin(&self) -> (TaskIndex, Placement) {
        match self {
            Self::Ended { task, place, .. }
            | Self::ReleaseAnswered { task, place, .. }
            | Self::PlacementLost { task, place } => (*task, *place),
        }
    }
}

/// What the driver offers for a decision about one event.
pub struct EventContext<'a> {
    /// Where a task can go next, best first.
    pub places: Vec<Placement>,
    /// Takes one retry out of the process's budget; returns whether there was one.
    pub take_retry: &'a mut dyn FnMut() -> bool,
}
