//! The target beside a runner: registration, incarnations, and whether it responds.
//!
//! Learns of the target and of its end. Owns no state besides the runner's.
//! Relies on [`TargetIncarnation`], and on `ending` for the runs of an incarnation that is over.

use cloverfold_base::Timestamp;

use crate::messages::RunRefusal;
use crate::runner::answers::TargetRegistration;
use crate::runner::counts::RegistrationVerdict;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::target_incarnation::TargetIncarnation;
use crate::runner::{Runner, RunnerAction};

/// Incarnations of the target that are remembered as over, so that a registration that comes late from one is ignored.
const REMEMBERED_INCARNATIONS: usize = 16;

impl Runner {
    /// Processes a registration of the target; one that comes late from an earlier incarnation changes nothing.
    ///
    /// An unknown incarnation beside a known target is a candidate, which is asked whether it is there (`candidates`).
    pub fn register(
        &mut self,
        registration: TargetRegistration,
        now: Timestamp,
    ) -> RegistrationVerdict {
        self.first_heard_at.get_or_insert(now);
        let verdict = self.judge_registration(&registration);
        self.counts.registrations.record(verdict);
        match verdict {
            RegistrationVerdict::Outdated
            | RegistrationVerdict::IncarnationEnded
            | RegistrationVerdict::MissingStartTime => {}
            RegistrationVerdict::Accepted if self.target.is_some() => {
                self.update_registration(registration, now);
            }
            RegistrationVerdict::Accepted => {
                self.begin_target_incarnation(registration, self.first_fencing_token, now);
            }
            RegistrationVerdict::Candidate => {
                let fencing_token = self.fencing_token_for(&registration.incarnation);
                self.candidates.record(registration, fencing_token, now);
                self.actions.push(RunnerAction::RenewNow);
            }
        }
        verdict
    }

    /// Decides what becomes of a registration.
    ///
    /// Sequences are compared within an incarnation alone: a target that starts again counts anew, and all that it says, also that it leaves,
    /// would pass for late words of the incarnation before.
    fn judge_registration(&self, registration: &TargetRegistration) -> RegistrationVerdict {
        let incarnation = &registration.incarnation;
        if self.ended_incarnations.contains(incarnation) {
            return RegistrationVerdict::IncarnationEnded;
        }
        let Some(target) = &self.target else {
            return RegistrationVerdict::Accepted;
        };
        if target.registration.incarnation.matches_untimed(incarnation) {
            return RegistrationVerdict::MissingStartTime;
        }
        if target.registration.incarnation != *incarnation {
            return RegistrationVerdict::Candidate;
        }
        if registration.sequence < target.registration.sequence {
            return RegistrationVerdict::Outdated;
        }
        RegistrationVerdict::Accepted
    }

    /// Returns the fencing token with which a candidate is asked first: one that the target's present incarnation does not refuse either,
    /// which may answer in its place.
    fn fencing_token_for(&self, incarnation: &IncarnationId) -> u64 {
        let target = self.target.as_ref();
        let target =
            target.filter(|target| target.registration.incarnation.name == incarnation.name);
        target.map_or(self.first_fencing_token, |target| target.fencing_token)
    }

    /// Updates the registration of the present incarnation.
    fn update_registration(&mut self, registration: TargetRegistration, now: Timestamp) {
        let Some(target) = &mut self.target else {
            return;
        };
        let was_draining = target.is_draining();
        let was_registered = target.is_registered;
        target.registration = registration;
        target.is_registered = true;
        let is_draining = target.is_draining();
        if !was_registered {
            self.usual_speeds.record_target(&target.registration);
        }
        if is_draining == was_draining && was_registered {
            return;
        }
        if is_draining {
            self.give_back_waiting(RunRefusal::Draining, now);
        }
        self.announce_target();
    }

    /// Forgets the target or candidate that reports its own end, and ends its runs.
    ///
    /// A target that tells its incarnations apart drains before it ends. A word without a start, while the present incarnation does not
    /// drain, is a late one of an earlier incarnation and changes nothing: a target that is gone is noticed by its silence. Returns whether
    /// the word was taken.
    pub fn unregister(&mut self, incarnation: &IncarnationId, now: Timestamp) -> bool {
        if self.candidates.remove(incarnation).is_some() {
            self.remember_as_ended(incarnation.clone());
            return true;
        }
        let Some(target) = &self.target else {
            return false;
        };
        let present = &target.registration.incarnation;
        let is_meant = present == incarnation
            || (present.matches_untimed(incarnation) && target.is_draining());
        if is_meant {
            self.end_target_incarnation(now);
            self.announce_target();
        }
        is_meant
    }

    /// Returns the present target if this is its incarnation.
    pub(super) fn target_of_incarnation(
        &mut self,
        incarnation: &IncarnationId,
    ) -> Option<&mut TargetIncarnation> {
        let target = self.target.as_mut();
        target.filter(|target| target.registration.incarnation == *incarnation)
    }

    /// Makes a new incarnation the target, which ends all runs of the one before, and asks for its list.
    pub(super) fn begin_target_incarnation(
        &mut self,
        registration: TargetRegistration,
        fencing_token: u64,
        now: Timestamp,
    ) {
        self.end_target_incarnation(now);
        self.usual_speeds.record_target(&registration);
        self.next_sequence += 1;
        let number = self.next_sequence;
        self.target = Some(TargetIncarnation::new(
            registration,
            number,
            fencing_token,
            now,
        ));
        self.announce_target();
        self.actions.push(RunnerAction::RenewNow);
    }

    /// Ends the present incarnation, if there is one, and with it all that ran there.
    fn end_target_incarnation(&mut self, now: Timestamp) {
        if let Some(target) = self.target.take() {
            self.remember_as_ended(target.registration.incarnation);
        }
        self.end_all_runs(now);
    }

    /// Remembers an incarnation as over: what comes from it later is ignored.
    pub(super) fn remember_as_ended(&mut self, incarnation: IncarnationId) {
        self.ended_incarnations.push_back(incarnation);
        if self.ended_incarnations.len() > REMEMBERED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
    }

    /// Decides whether the target is unresponsive: it has answered no renewal for [`Timings::unresponsive_timeout`](crate::Timings::unresponsive_timeout) and the time
    /// that a renewal may wait.
    ///
    /// An unresponsive target gets no new work. Its runs may go on until its lease has lapsed; then they are lost.
    pub(super) fn check_responsiveness(&mut self, now: Timestamp) {
        let limit = self.timings.unresponsive_timeout + self.timings.renewal_poll_timeout;
        let Some(target) = &mut self.target else {
            return;
        };
        if now < target.answered_at + limit {
            return;
        }
        if !target.is_unresponsive {
            target.is_unresponsive = true;
            self.give_back_waiting(RunRefusal::NoTarget, now);
            self.announce_target();
        }
        if self.has_lease_lapsed(now) {
            self.end_lapsed_lease(now);
        }
    }
}
