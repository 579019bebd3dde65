//! Status and placements of one task of a job.
//!
//! [`crate::JobProgress`] decides when a task moves; this module limits the moves and never chooses a placement twice.

use crate::job_events::JobAction;
use crate::{Placement, TaskIndex};

/// How often one task may move before its job fails.
const MAX_MOVES: usize = 3;

/// Status of one task as its driver knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// Assigned to its placement.
    Assigned,
    /// The driver asked the placement to release it.
    Releasing,
    /// Completed with this result.
    Done(Vec<u8>),
    /// No placement has started it or ever will.
    NeverStarted,
    /// It may have started, and there is no result.
    Lost,
}

/// Placement and status of one task.
#[derive(Clone, Debug)]
pub(crate) struct TaskProgress {
    pub(crate) place: Placement,
    pub(crate) status: TaskStatus,
    /// Earlier placements of the task.
    previous_placements: Vec<Placement>,
}

impl TaskProgress {
    /// Returns a task that is assigned to its placement in the claim.
    pub(crate) fn new(place: Placement) -> Self {
        Self {
            place,
            status: TaskStatus::Assigned,
            previous_placements: Vec::new(),
        }
    }

    /// Returns whether the task has not ended yet.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.status, TaskStatus::Assigned | TaskStatus::Releasing)
    }

    /// Returns whether a placement has or had the task.
    pub(crate) fn was_placed_at(&self, place: Placement) -> bool {
        self.place == place || self.previous_placements.contains(&place)
    }

    /// Returns the assignment to the current placement, which may forward the task while its moves are within the limit.
    pub(crate) fn assign(&self, task: TaskIndex) -> JobAction {
        JobAction::Assign {
            task,
            place: self.place,
            previous_guards: self
                .previous_placements
                .iter()
                .map(|placement| placement.guard)
                .collect(),
            may_pass_on: self.previous_placements.len() < MAX_MOVES,
        }
    }

    /// Moves the task to a new placement.
    pub(crate) fn move_to(&mut self, place: Placement, status: TaskStatus) {
        self.previous_placements.push(self.place);
        self.place = place;
        self.status = status;
    }

    /// Returns the first placement that has not had the task, or `None` after [`MAX_MOVES`] moves.
    pub(crate) fn choose_next_placement(&self, placements: &[Placement]) -> Option<Placement> {
        if self.previous_placements.len() >= MAX_MOVES {
            return None;
        }
        let is_new = |place: &&Placement| !self.was_placed_at(**place);
        placements.iter().find(is_new).copied()
    }
}
