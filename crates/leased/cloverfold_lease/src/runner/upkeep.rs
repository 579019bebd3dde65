//! Behaviour of a runner before the upkeep (planned maintenance) of its box.
//!
//! | while the target is held | behaviour |
//! |---|---|
//! | new assignments and waiting runs | refused with `Draining` |
//! | the target | not offered to any dispatcher |
//! | a start that was refused without effect | not replaced by one with a later deadline |
//! | started runs | unaffected |
//!
//! A control process holds one incarnation of the target for a limited time; each request replaces the previous one. Work that still runs
//! when the box goes down is lost with it. The time limit keeps a lost request or a dead control process from holding the target forever.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{FreeCapacity, RunRefusal};
use crate::runner::Runner;
use crate::runner::incarnation_id::IncarnationId;

/// A hold of the target before upkeep: the target is not offered for a limited time.
#[derive(Clone, Debug)]
pub(super) struct UpkeepHold {
    /// Number of the held incarnation in this process.
    incarnation: u64,
    until: Timestamp,
}

impl Runner {
    /// Holds the current incarnation of the target for `span` if it has this name; a span of zero ends the hold.
    pub fn hold_target(&mut self, name: &str, span: Duration, now: Timestamp) {
        let target = self.target.as_ref();
        let Some(target) = target.filter(|target| target.registration.incarnation.name == name)
        else {
            return;
        };
        let number = target.number();
        if span.is_zero() {
            self.upkeep_hold = None;
        } else {
            self.upkeep_hold = Some(UpkeepHold {
                incarnation: number,
                until: now + span,
            });
            self.refuse_waiting(RunRefusal::Draining, now);
        }
        self.announce_target();
    }

    /// Returns whether the target is held before upkeep.
    pub fn is_target_held(&self) -> bool {
        let target = self.target.as_ref();
        let hold = self.upkeep_hold.as_ref();
        hold.is_some_and(|hold| target.is_some_and(|target| target.number() == hold.incarnation))
    }

    /// Returns the current incarnation of the target; `None` while there is none.
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

    /// Offers the target again after the hold has expired.
    pub(super) fn expire_hold(&mut self, now: Timestamp) {
        if self.upkeep_hold.take_if(|hold| now >= hold.until).is_some() {
            self.announce_target();
        }
    }
}
