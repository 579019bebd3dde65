//! Handling of a suspension of the box.
//!
//! Timestamps about the target's clock and leases that lie before the suspension move forward by its length, or by a lower bound of it.
//!
//! The runner's clock keeps running during a suspension, but the monotonic clock on which the target keeps its leases may have stopped.
//! Without the shift a lease could be extended too far or count as lapsed too early. If the target was not suspended, a lease counts as
//! lapsed too late, until the next answer corrects the clock reading.
//!
//! Sessions are not shifted: their dispatchers run on other boxes.

use std::time::Duration;

use crate::runner::Runner;

impl Runner {
    /// Compensates for a suspension of the box; call it before anything else after the suspension.
    pub fn allow_for_suspension(&mut self, span: Duration) {
        if let Some(first_registration_at) = &mut self.first_registration_at {
            *first_registration_at += span;
        }
        if let Some(target) = &mut self.target {
            target.allow_for_suspension(span);
        }
    }
}
