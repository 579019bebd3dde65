//! Decision: what the coming upkeep of the box changes at a runner.
//!
//! | while the target is held | |
//! |---|---|
//! | assignments, and runs that wait | given back at once, `Draining` |
//! | the target | is offered to no dispatcher |
//! | a start that was refused without effect | is not replaced by one with a later deadline |
//! | runs that are there | go on; nothing is cut |
//!
//! A target is held from the word of a control process on for as long as that says, and never in another incarnation. Each word replaces
//! the one before. Inputs: the name that is meant, the span, the time. Reason: what runs when the box goes dies with it; a word
//! that is lost, or a control process that dies, must not keep a target from work for good.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{FreeCapacity, RunRefusal};
use crate::runner::Runner;
use crate::runner::incarnation_id::IncarnationId;

/// A target that is offered to nobody for a while.
#[derive(Clone, Debug)]
pub(super) struct HeldTarget {
    /// The number of its incarnation in this process.
    number: u64,
    until: Timestamp,
}

impl Runner {
    /// Offers the present incarnation of the target to nobody for a span, if it has this name; none ends it.
    pub fn hold_target(&mut self, name: &str, span: Duration, now: Timestamp) {
        let target = self.target.as_ref();
        let Some(target) = target.filter(|target| target.registration.incarnation.name == name)
        else {
            return;
        };
        let number = target.number();
        if span.is_zero() {
            self.held = None;
        } else {
            self.held = Some(HeldTarget {
                number,
                until: now + span,
            });
            self.give_back_waiting(RunRefusal::Draining, now);
        }
        self.announce_target();
    }

    /// Returns whether the target is held for its upkeep.
    pub fn is_held(&self) -> bool {
        let target = self.target.as_ref();
        let held = self.held.as_ref();
        held.is_some_and(|held| target.is_some_and(|target| target.number() == held.number))
    }

    /// Returns the present incarnation of the target; `None` while there is none.
    pub fn target_incarnation_id(&self) -> Option<&IncarnationId> {
        let target = self.target.as_ref();
        target.map(|target| &target.registration.incarnation)
    }

    /// Returns the target's whole capacity, offered or not, minus the demand of all its running and waiting runs, for a control process
    /// that asks; `None` without a target.
    pub fn unreserved_capacity(&self, now: Timestamp) -> Option<FreeCapacity> {
        let target = self.target.as_ref()?;
        let demands = self.runs.values().map(|run| run.demand);
        let free = demands.fold(*target.capacity(), |free, demand| free.minus(&demand));
        Some(FreeCapacity {
            free,
            assignments_seen: 0,
            slowness_permille: target.performance.slowness_permille(now),
        })
    }

    /// Offers the target again once it was held for long enough.
    pub(super) fn end_hold(&mut self, now: Timestamp) {
        if self.held.take_if(|held| now >= held.until).is_some() {
            self.announce_target();
        }
    }
}
