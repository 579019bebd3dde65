//! Behaviour of a runner while its data hall is evacuated.
//!
//! | subject | behaviour |
//! |---|---|
//! | new assignments | refused with `Evacuated` (`assignment`) |
//! | waiting runs | refused with `Evacuated` |
//! | the target | not offered to any dispatcher (`reports`) |
//! | a start that was refused without effect | not replaced by one with a later deadline; the run is refused (`starts`) |
//! | a start that was sent and is unanswered | retried with the same deadline, as usual |
//! | started runs, their leases and sessions | unaffected |
//!
//! The target therefore executes the last start in the hall at most one lease ([`Timings::lease_duration`](crate::Timings::lease_duration))
//! after the runner learns of the evacuation. A retry is not a new start, since the target executes each run only once.

use cloverfold_base::Timestamp;

use crate::messages::RunRefusal;
use crate::runner::Runner;

impl Runner {
    /// Sets whether the data hall is evacuated. While it is, nothing more starts.
    pub fn set_evacuated(&mut self, is_evacuated: bool, now: Timestamp) {
        if is_evacuated == self.is_evacuated {
            return;
        }
        self.is_evacuated = is_evacuated;
        if is_evacuated {
            self.refuse_waiting(RunRefusal::Evacuated, now);
        }
        self.announce_target();
    }

    /// Returns whether the data hall is evacuated.
    pub fn is_evacuated(&self) -> bool {
        self.is_evacuated
    }
}
