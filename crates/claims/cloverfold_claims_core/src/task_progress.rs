//! One task of a job as its driver follows it from place to place.
//!
//! Owns the task's status, its present place and its earlier ones. Does not decide when a task moves; that is
//! [`crate::JobProgress`], which relies on this file for the bound on moves and for never choosing a place twice.

use crate::job_events::JobAction;
use crate::{Placement, TaskIndex};

/// How often one task may be moved before its job fails. Chosen, not measured.
const MAX_MOVES: usize = 3;

/// The status of one task, as far as its driver knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// It was assigned to its place.
    Assigned,
    /// Its place was asked to release it.
    Releasing,
    /// It ended with this result.
    Done(Vec<u8>),
    /// No place has started it and none ever will.
    NeverStarted,
    /// It started, or may have, and brought no result.
    Lost,
}

/// The place and status of one task.
#[derive(Clone, Debug)]
pub(crate) struct TaskProgress {
    pub(crate) place: Placement,
    pub(crate) status: TaskStatus,
    /// Places that released the task, none of which will ever start it.
    previous_places: Vec<Placement>,
}

impl TaskProgress {
    /// Returns a task that is assigned to the place that the claim names.
    pub(crate) fn new(place: Placement) -> Self {
        Self {
            place,
            status: TaskStatus::Assigned,
            previous_places: Vec::new(),
        }
    }

    /// Returns whether the task has not ended yet.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.status, TaskStatus::Assigned | TaskStatus::Releasing)
    }

    /// Returns whether a place has had the task, or has it now.
    pub(crate) fn has_visited(&self, place: Placement) -> bool {
        self.place == place || self.previous_places.contains(&place)
    }

    /// Asks the present place to run the task, or to pass it on if it has not been moved too often.
    pub(crate) fn assign(&self, task: TaskIndex) -> JobAction {
        JobAction::Assign {
            task,
            place: self.place,
            previous_guards: self
                .previous_places
                .iter()
                .map(|place| place.guard)
                .collect(),
            may_pass_on: self.previous_places.len() < MAX_MOVES,
        }
    }

    /// Moves the task to a place that has not had it.
    pub(crate) fn move_to(&mut self, place: Placement, status: TaskStatus) {
        self.previous_places.push(self.place);
        self.place = place;
        self.status = status;
    }

    /// Chooses the first place that has not had the task, unless it has been moved [`MAX_MOVES`] times.
    pub(crate) fn choose_next(&self, places: &[Placement]) -> Option<Placement> {
        if self.previous_places.len() >= MAX_MOVES {
            return None;
        }
        let is_new = |place: &&Placement| !self.has_visited(**place);
        places.iter().find(is_new).copied()
    }
}
