//! Decision: which ends a target must not forget yet.
//!
//! Rule: it is told to forget ends up to the first one that is held.
//!
//! | end | held |
//! |---|---|
//! | `Done` or `Failed` of a kept run | until its group has decided that it is recorded or that the job is over |
//! | the same, of an epoch that is over (`Fenced`) | until the lease has lapsed once |
//! | `Done` or `Failed` of a kept run that is not known here | until the lease has lapsed once |
//! | any other | not |
//!
//! An end that is held until the lease lapses makes it lapse (`lapses`); so does a list of [`MOST_LISTED`] ends while one is held.
//!
//! Inputs: the ends that the target lists, the decisions of the groups.
//!
//! Reason: an end that the target has forgotten must not be followed by another start of its task, unless the lease lapsed in between. A kept
//! run that is not known here is that of an earlier process of this guard, whose record of its end may be lost; that it is kept shows in its
//! number. Holding all unknown ends let the lease lapse at each restart of a guard: 0.019 of the worth on the five days with trouble of
//! 11 boxes (seed 5, without processor time). A target lists only its oldest ends, so held ones must not hide the others.
//!
//! Owns [`HeldEnds`]. Processing an end does not wait for any of this.

use std::collections::BTreeMap;

use cloverfold_kept_jobs::{EndDecision, TaskEnd};

/// Ends that a target may list before held ones are let go of by a lapse. Targets list 500 at once.
const MOST_LISTED: usize = 400;

/// Why an end is held.
#[derive(Clone, Debug, PartialEq, Eq)]
enum HeldEnd {
    /// Its group has not decided on it.
    Undecided(TaskEnd),
    /// Nothing but a lapse allows to forget it.
    UntilLapse,
}

/// The ends of one target that were processed and that it must not forget yet, by their numbers.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldEnds {
    ends: BTreeMap<u64, HeldEnd>,
    must_lapse: bool,
}

impl HeldEnds {
    /// Holds the end of a kept run.
    pub(super) fn hold(&mut self, number: u64, end: TaskEnd) {
        self.ends.insert(number, HeldEnd::Undecided(end));
    }

    /// Holds the end of a kept run that is not known.
    pub(super) fn hold_unknown(&mut self, number: u64) {
        self.ends.insert(number, HeldEnd::UntilLapse);
        self.must_lapse = true;
    }

    /// Lets the lease lapse if the target lists so many ends that held ones may hide others.
    pub(super) fn bound(&mut self, listed: usize) {
        if listed >= MOST_LISTED && !self.ends.is_empty() {
            self.must_lapse = true;
        }
    }

    /// Takes the decision of a group on an end.
    pub(super) fn decide(&mut self, end: &TaskEnd, decision: EndDecision) {
        let is_meant = |held: &HeldEnd| matches!(held, HeldEnd::Undecided(held) if held == end);
        let found = self.ends.iter().find(|(_, held)| is_meant(held));
        let Some(number) = found.map(|(number, _)| *number) else {
            return;
        };
        match decision {
            EndDecision::Recorded | EndDecision::JobOver => {
                self.ends.remove(&number);
            }
            EndDecision::Fenced => self.hold_unknown(number),
        }
    }

    /// Returns the number of the first end that is held.
    pub(super) fn first(&self) -> Option<u64> {
        self.ends.keys().next().copied()
    }

    /// Returns how many ends are held.
    pub(super) fn count(&self) -> usize {
        self.ends.len()
    }

    /// Returns whether an end is held that only a lapse lets go of.
    pub(super) fn must_lapse(&self) -> bool {
        self.must_lapse
    }

    /// Lets go of all: the lease has lapsed since they ended.
    pub(super) fn release(&mut self) {
        self.ends.clear();
        self.must_lapse = false;
    }
}
