//! Ends of runs that the target must keep listing.
//!
//! The runner lets the target forget only the ends before the first held one.
//!
//! | end | held |
//! |---|---|
//! | `Done` or `Failed` of a kept run | until its job group decides that it is recorded or that the job is over |
//! | the same, if its epoch is over (`Fenced`) | until the lease has lapsed once |
//! | `Done` or `Failed` of a kept run that is unknown here | until the lease has lapsed once |
//! | any other | not held |
//!
//! An end that is held until the lease lapses makes the runner withhold the lease (`lapses`). So does a list of [`MAX_LISTED_ENDS`] ends
//! while any end is held: a target lists only its oldest ends, so held ones could hide newer ones.
//!
//! After the target has forgotten an end, its task may start again only if the lease has lapsed in between. An unknown kept run belongs to
//! an earlier process of this guard, whose record of the end may be lost; its run number shows that it is kept. Other unknown ends are not
//! held, since that would let the lease lapse at each restart of a guard.

use std::collections::BTreeMap;

use cloverfold_kept_jobs::{EndDecision, TaskEnd};

/// Number of listed ends from which held ones may hide others. Targets list at most 500.
const MAX_LISTED_ENDS: usize = 400;

/// Why an end is held.
#[derive(Clone, Debug, PartialEq, Eq)]
enum HeldEnd {
    /// Its job group has not decided on it.
    Undecided(TaskEnd),
    /// Only a lapse of the lease releases it.
    UntilLapse,
}

/// Processed ends that the target must keep listing, by number.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldEnds {
    ends: BTreeMap<u64, HeldEnd>,
    must_lapse: bool,
}

impl HeldEnds {
    /// Holds the end of a known kept run until its job group decides.
    pub(super) fn hold(&mut self, number: u64, end: TaskEnd) {
        self.ends.insert(number, HeldEnd::Undecided(end));
    }

    /// Holds an end until the lease has lapsed.
    pub(super) fn hold_until_lapse(&mut self, number: u64) {
        self.ends.insert(number, HeldEnd::UntilLapse);
        self.must_lapse = true;
    }

    /// Requires a lapse of the lease if the target lists so many ends that held ones may hide others.
    pub(super) fn require_lapse_if_full(&mut self, listed: usize) {
        if listed >= MAX_LISTED_ENDS && !self.ends.is_empty() {
            self.must_lapse = true;
        }
    }

    /// Applies the decision of a job group on an end.
    pub(super) fn apply_decision(&mut self, end: &TaskEnd, decision: EndDecision) {
        let is_match = |held: &HeldEnd| matches!(held, HeldEnd::Undecided(held) if held == end);
        let found = self.ends.iter().find(|(_, held)| is_match(held));
        let Some(number) = found.map(|(number, _)| *number) else {
            return;
        };
        match decision {
            EndDecision::Recorded | EndDecision::JobOver => {
                self.ends.remove(&number);
            }
            EndDecision::Fenced => self.hold_until_lapse(number),
        }
    }

    /// Returns the number of the first held end.
    pub(super) fn first_number(&self) -> Option<u64> {
        self.ends.keys().next().copied()
    }

    pub(super) fn count(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether only a lapse of the lease can release the held ends.
    pub(super) fn must_lapse(&self) -> bool {
        self.must_lapse
    }

    /// Releases all held ends, after the lease has lapsed.
    pub(super) fn release(&mut self) {
        self.ends.clear();
        self.must_lapse = false;
    }
}
