//! Exclusion of targets in evacuated data halls.
//!
//! No task is assigned to a target in an evacuated hall, even if its runner announces the target. Runs in progress there continue. The
//! runner refuses such assignments too; this check saves the round trip and also applies before the runner knows of the evacuation.
//!
//! Waiting tasks need no special handling: the next pass places them on the remaining targets.

use std::collections::BTreeSet;

use cloverfold_evacuation::DataHall;

use crate::dispatcher::Dispatcher;
use crate::messages::SessionId;

impl Dispatcher {
    /// Records the data hall of the runner of a session.
    pub fn set_data_hall(&mut self, session: SessionId, hall: &DataHall) {
        let is_evacuated = self.evacuated_halls.contains(hall);
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.data_hall = Some(hall.clone());
            runner.is_evacuated = is_evacuated;
        }
    }

    /// Sets the evacuated data halls; tasks are assigned in all others.
    pub fn set_evacuated_halls(&mut self, halls: &BTreeSet<DataHall>) {
        self.evacuated_halls.clone_from(halls);
        for runner in self.sessions.values_mut() {
            let hall = runner.data_hall.as_ref();
            runner.is_evacuated = hall.is_some_and(|hall| halls.contains(hall));
        }
    }
}
