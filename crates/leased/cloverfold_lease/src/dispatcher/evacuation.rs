//! Decision: to which targets nothing is assigned because their data hall is evacuated.
//!
//! Rule: a target in an evacuated hall accepts no work, whatever its runner announces; what runs there goes on. Inputs: the evacuated
//! halls as the process was told last, the hall that each runner names. Reason: the runner there offers nothing and gives back what
//! comes, so this saves the way there and back, and holds where the runner does not know of the evacuation yet.
//!
//! Owns no state besides the dispatcher's. Waiting tasks need no step of their own: they are placed on what is left in the next pass.

use std::collections::BTreeSet;

use cloverfold_evacuation::DataHall;

use crate::dispatcher::Dispatcher;
use crate::messages::SessionId;

impl Dispatcher {
    /// Records in which data hall the runner of a session stands.
    pub fn set_data_hall(&mut self, session: SessionId, hall: &DataHall) {
        let is_evacuated = self.evacuated_halls.contains(hall);
        if let Some(runner) = self.sessions.get_mut(&session) {
            runner.data_hall = Some(hall.clone());
            runner.is_evacuated = is_evacuated;
        }
    }

    /// Assigns nothing in these data halls from now on, and in all others again.
    pub fn set_evacuated_halls(&mut self, halls: &BTreeSet<DataHall>) {
        self.evacuated_halls.clone_from(halls);
        for runner in self.sessions.values_mut() {
            let hall = runner.data_hall.as_ref();
            runner.is_evacuated = hall.is_some_and(|hall| halls.contains(hall));
        }
    }
}
