//! Decision: what a suspension of the box changes in what is known of the target's clock and leases.
//!
//! Rule: all that is reckoned from a point in time before the suspension is reckoned from a point later by its length.
//!
//! Inputs: the length of the suspension, at the least.
//!
//! Reason: the runner's clock goes on while the box is suspended. The target stands on the same box, and the steady clock on which it keeps
//! its leases may have stood still. So it is taken to show no more than without the suspension: no lease gets longer than it should, and
//! none counts as lapsed too early. If the target was not suspended, a lease counts as lapsed later than it did, and the next answer of the
//! target puts the reckoning right.
//!
//! Sessions are not touched: dispatchers reckon with them on other boxes.

use std::time::Duration;

use crate::runner::Runner;

impl Runner {
    /// Allows for a suspension of the box; call it before anything else after the suspension.
    pub fn allow_for_suspension(&mut self, span: Duration) {
        if let Some(first_heard_at) = &mut self.first_heard_at {
            *first_heard_at += span;
        }
        if let Some(target) = &mut self.target {
            target.allow_for_suspension(span);
        }
    }
}
