//! Decision: what an evacuation of the data hall changes at a runner.
//!
//! | | |
//! |---|---|
//! | assignments | given back at once, `Evacuated` (`assignment`) |
//! | runs that wait | given back at once, `Evacuated` |
//! | the target | is offered to no dispatcher (`reports`) |
//! | a start that was refused without effect | is not replaced by one with a later deadline; the run is given back (`starts`) |
//! | a start that was sent and is not answered | is repeated with the same deadline, as always |
//! | runs that are there, their leases and sessions | go on; nothing is cut |
//!
//! So the last start in the hall is carried out before its deadline, one lease ([`Timings::lease_duration`](crate::Timings::lease_duration)) after the
//! evacuation came into force here. Repeating it is no new start: the target carries out each run once.
//!
//! Inputs: whether the hall is evacuated, as the guard was told last. Owns no state besides the runner's.

use cloverfold_base::Timestamp;

use crate::messages::RunRefusal;
use crate::runner::Runner;

impl Runner {
    /// Starts nothing more while the data hall is evacuated, and goes on when it is taken back.
    pub fn set_evacuated(&mut self, is_evacuated: bool, now: Timestamp) {
        if is_evacuated == self.is_evacuated {
            return;
        }
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.give_back_waiting(RunRefusal::Evacuated, now);
        }
        self.announce_target();
    }

    /// Returns whether the data hall is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }
}
