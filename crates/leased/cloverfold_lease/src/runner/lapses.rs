//! Decides when the target's lease is withheld, and when a withheld lease has lapsed.
//!
//! The lease is not extended, and nothing starts,
//!
//! - while an end is held that only a lapse releases (`held_ends`);
//! - while a kept run is still there [`KeptJobTimings::stop_grace`](cloverfold_kept_jobs::KeptJobTimings) after its first stop order.
//!
//! It has lapsed once every deadline that this runner has sent has passed ([`TargetIncarnation::has_lease_lapsed`]), and also the longest
//! lease that an earlier process beside the target can have granted, counted from the first registration. Then all runs have ended, and all
//! held ends are released.
//!
//! Two guarantees rest on the lapse: a task starts again after the target has forgotten its end, and another entry takes over a kept
//! job knowing that its runs end within a bound.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndDecision, TaskEnd};

use crate::messages::RunRefusal;
use crate::runner::target_incarnation::TargetIncarnation;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Processes the decision of a job group on an end that [`RunnerAction::RecordEnd`] asked to record.
    pub fn receive_end_decision(&mut self, end: &TaskEnd, decision: EndDecision, now: Timestamp) {
        if let Some(target) = &mut self.target {
            let acknowledged_before = target.acknowledged_end();
            target.held_ends.apply_decision(end, decision);
            if target.acknowledged_end() > acknowledged_before {
                // Until the target may forget that end it answers every renewal at once, so the next end would be noticed later.
                self.actions.push(RunnerAction::RenewNow);
            }
            self.check_withheld_lease(now);
        }
    }

    /// Returns the number of ends that the target must keep listing.
    pub fn held_end_count(&self) -> usize {
        let target = self.target.as_ref();
        target.map_or(0, |target| target.held_ends.count())
    }

    /// Withholds the lease or extends it again, and ends all runs once a withheld lease has lapsed.
    pub(super) fn check_withheld_lease(&mut self, now: Timestamp) {
        if self.is_lapse_required(now) && self.has_lease_lapsed(now) {
            self.end_lapsed_lease(now);
        }
        let is_withheld = self.is_lapse_required(now);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.is_lease_withheld == is_withheld {
            return;
        }
        target.is_lease_withheld = is_withheld;
        if is_withheld {
            self.refuse_waiting(RunRefusal::NoTarget, now);
        }
        self.announce_target();
    }

    fn is_lapse_required(&self, now: Timestamp) -> bool {
        let Some(target) = &self.target else {
            return false;
        };
        let grace = self.kept_timings.stop_grace;
        let mut runs = self.runs.values();
        target.held_ends.must_lapse() || runs.any(|run| run.is_stop_overdue(grace, now))
    }

    /// Returns whether every lease that the target may have has certainly lapsed.
    pub(super) fn has_lease_lapsed(&self, now: Timestamp) -> bool {
        let target = self.target.as_ref();
        let has_lapsed = |target: &TargetIncarnation| target.has_lease_lapsed(&self.timings, now);
        target.is_some_and(has_lapsed) && self.has_earlier_lease_lapsed(now)
    }

    /// Returns whether every lease that an earlier process beside the target may have granted has lapsed.
    ///
    /// If the target reports its start time, that process may have used the clock of an earlier incarnation under the same name, so only
    /// the target's own limit bounds the lease.
    fn has_earlier_lease_lapsed(&self, now: Timestamp) -> bool {
        let target = self.target.as_ref();
        let may_have_restarted =
            target.is_some_and(|target| target.registration.incarnation.start_time.is_some());
        let lease = if may_have_restarted {
            self.timings.max_lease
        } else {
            self.timings.lease_duration
        };
        let first_registration_at = self.first_registration_at.unwrap_or(now);
        now > first_registration_at + self.timings.lease_end_bound(lease)
    }

    /// Ends all runs as lost and releases all held ends, after every lease of the target has lapsed.
    pub(super) fn end_lapsed_lease(&mut self, now: Timestamp) {
        self.end_all_runs(now);
        if let Some(target) = &mut self.target {
            // Its runs are unknown until it answers again.
            target.has_only_own_runs = false;
            target.held_ends.release();
        }
    }
}
