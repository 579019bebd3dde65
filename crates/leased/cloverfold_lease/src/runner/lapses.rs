//! Decision: when the lease of the target is left to lapse, and when it has.
//!
//! Rule: it is not extended, and nothing starts,
//!
//! - while an end is held that only a lapse lets go of (`held_ends`);
//! - while a kept run that was told to stop is still there after [`KeptJobTimings::stop_grace`](cloverfold_kept_jobs::KeptJobTimings).
//!
//! It has lapsed once every deadline that this runner has sent is over ([`TargetIncarnation::has_lease_lapsed`]) and the longest lease that an
//! earlier process beside the target can have given it, counted from when a target was heard of first. Then all runs are over, and no end
//! is held any more.
//!
//! Inputs: the held ends, the states of kept runs, the deadlines that were sent, the target's clock.
//!
//! Reason: what a target was told to forget counts for good unless its lease lapsed since; and a kept job is given to another entry
//! on the promise that runs end by themselves within a bound.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndDecision, TaskEnd};

use crate::messages::RunRefusal;
use crate::runner::target_incarnation::TargetIncarnation;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Takes the decision of a group on an end that [`RunnerAction::RecordEnd`](crate::RunnerAction::RecordEnd) asked to record.
    pub fn receive_end_decision(&mut self, end: &TaskEnd, decision: EndDecision, now: Timestamp) {
        if let Some(target) = &mut self.target {
            let held_before = target.acknowledged_end();
            target.held_ends.decide(end, decision);
            if target.acknowledged_end() > held_before {
                // Until it may forget that end the target answers every renewal at once, and the next end is noticed later.
                self.actions.push(RunnerAction::RenewNow);
            }
            self.check_withheld_lease(now);
        }
    }

    /// Returns how many ends the target must not forget yet.
    pub fn held_end_count(&self) -> usize {
        let target = self.target.as_ref();
        target.map_or(0, |target| target.held_ends.count())
    }

    /// Withholds the lease or extends it again, and ends all runs once a withheld one has lapsed.
    pub(super) fn check_withheld_lease(&mut self, now: Timestamp) {
        if self.is_lapse_wanted(now) && self.has_lease_lapsed(now) {
            self.end_lapsed_lease(now);
        }
        let is_withheld = self.is_lapse_wanted(now);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.is_lease_withheld == is_withheld {
            return;
        }
        target.is_lease_withheld = is_withheld;
        if is_withheld {
            self.give_back_waiting(RunRefusal::NoTarget, now);
        }
        self.announce_target();
    }

    fn is_lapse_wanted(&self, now: Timestamp) -> bool {
        let Some(target) = &self.target else {
            return false;
        };
        let grace = self.kept_timings.stop_grace;
        let mut runs = self.runs.values();
        target.held_ends.must_lapse() || runs.any(|run| run.resists_stop(grace, now))
    }

    /// Returns whether every lease that the target may have is certainly over.
    pub(super) fn has_lease_lapsed(&self, now: Timestamp) -> bool {
        let target = self.target.as_ref();
        let is_over = |target: &TargetIncarnation| target.has_lease_lapsed(&self.timings, now);
        target.is_some_and(is_over) && self.has_earlier_lease_lapsed(now)
    }

    /// Returns whether every lease that an earlier process beside the target can have given it is over.
    ///
    /// To a target that tells its start that process may have given it by the clock of an earlier incarnation of the same name, so that
    /// only the target has bounded it.
    fn has_earlier_lease_lapsed(&self, now: Timestamp) -> bool {
        let target = self.target.as_ref();
        let may_have_restarted =
            target.is_some_and(|target| target.registration.incarnation.start_time.is_some());
        let lease = if may_have_restarted {
            self.timings.max_lease
        } else {
            self.timings.lease_duration
        };
        let first_heard_at = self.first_heard_at.unwrap_or(now);
        now > first_heard_at + self.timings.lease_end_bound(lease)
    }

    /// Ends all runs as lost, and holds no end any more: every lease of the target has lapsed.
    pub(super) fn end_lapsed_lease(&mut self, now: Timestamp) {
        self.end_all_runs(now);
        if let Some(target) = &mut self.target {
            // What it runs when it answers again is not known.
            target.has_only_own_runs = false;
            target.held_ends.release();
        }
    }
}
