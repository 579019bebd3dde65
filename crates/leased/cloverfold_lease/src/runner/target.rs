//! The target beside a runner: registration, incarnations, and whether it responds.
//!
//! Learns of the target and of its end. Owns no state besides the runner's.
//! Relies on [`TargetIncarnation`], and on `ending` for the runs of an incarnation that is over.

use cloverfold_base::Timestamp;

use crate::messages::RunRefusal;
use crate::runner::answers::TargetRegistration;
use crate::runner::counts::RegistrationVerdict;
use crate::runner::target_incarnation::TargetIncarnation;
use crate::runner::{Runner, RunnerAction};

/// Incarnations of the target that are remembered as over, so that a registration that comes late from one is ignored.
///
/// Chosen, not measured.
const REMEMBERED_INCARNATIONS: usize = 16;

impl Runner {
    /// Processes a registration of the target; one that comes late from an earlier incarnation changes nothing.
    ///
    /// An unknown name beside a known target is a candidate, which is asked whether it is there (`candidates`).
    pub fn register(
        &mut self,
        registration: TargetRegistration,
        now: Timestamp,
    ) -> RegistrationVerdict {
        self.first_heard_at.get_or_insert(now);
        let verdict = self.judge_registration(&registration);
        self.counts.registrations.record(verdict);
        match verdict {
            RegistrationVerdict::Overtaken | RegistrationVerdict::Ended => {}
            RegistrationVerdict::Taken if self.target.is_some() => {
                self.update_registration(registration, now);
            }
            RegistrationVerdict::Taken => {
                self.begin_target_incarnation(registration, self.first_fencing_token, now);
            }
            RegistrationVerdict::Candidate => {
                let fencing_token = self.first_fencing_token;
                self.candidates.record(registration, fencing_token, now);
                self.actions.push(RunnerAction::RenewNow);
            }
        }
        verdict
    }

    /// Decides what becomes of a registration.
    fn judge_registration(&self, registration: &TargetRegistration) -> RegistrationVerdict {
        let name = &registration.incarnation;
        if self.ended_incarnations.contains(name) {
            return RegistrationVerdict::Ended;
        }
        match &self.target {
            None => RegistrationVerdict::Taken,
            Some(target) if target.registration.incarnation != *name => {
                RegistrationVerdict::Candidate
            }
            Some(target) if registration.sequence < target.registration.sequence => {
                RegistrationVerdict::Overtaken
            }
            Some(_) => RegistrationVerdict::Taken,
        }
    }

    /// Updates the registration of the present incarnation.
    fn update_registration(&mut self, registration: TargetRegistration, now: Timestamp) {
        let Some(target) = &mut self.target else {
            return;
        };
        let was_draining = target.is_draining();
        target.registration = registration;
        let is_draining = target.is_draining();
        if is_draining == was_draining {
            return;
        }
        if is_draining {
            self.give_back_waiting(RunRefusal::Draining, now);
        }
        self.announce_target();
    }

    /// Forgets the target or candidate that reports its own end, and ends its runs.
    pub fn unregister(&mut self, incarnation: &str, now: Timestamp) {
        if self.target_of_incarnation(incarnation).is_some() {
            self.end_target_incarnation(now);
            self.announce_target();
        } else if self.candidates.remove(incarnation).is_some() {
            self.remember_as_ended(incarnation.into());
        }
    }

    /// Returns the present target if its incarnation has this name.
    pub(super) fn target_of_incarnation(
        &mut self,
        incarnation: &str,
    ) -> Option<&mut TargetIncarnation> {
        let target = self.target.as_mut();
        target.filter(|target| target.registration.incarnation == incarnation)
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
    pub(super) fn remember_as_ended(&mut self, incarnation: String) {
        self.ended_incarnations.push_back(incarnation);
        if self.ended_incarnations.len() > REMEMBERED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
    }

    /// Decides whether the target is unresponsive: it has answered no renewal for [`Timings::silence`](crate::Timings::silence) and the time
    /// that a renewal may wait.
    ///
    /// An unresponsive target gets no new work. Its runs may go on until its lease has lapsed; then they are lost.
    pub(super) fn check_responsiveness(&mut self, now: Timestamp) {
        let limit = self.timings.silence + self.timings.renewal_wait;
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
