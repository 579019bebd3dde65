//! The target beside a runner: registrations, its incarnations, and whether it responds.

use cloverfold_base::Timestamp;

use crate::messages::RunRefusal;
use crate::runner::answers::TargetRegistration;
use crate::runner::counts::RegistrationVerdict;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::target_incarnation::TargetIncarnation;
use crate::runner::{Runner, RunnerAction};

/// Number of ended incarnations that are remembered, so that their late registrations are ignored.
const MAX_ENDED_INCARNATIONS: usize = 16;

impl Runner {
    /// Processes a registration of the target; a late one of an earlier incarnation is ignored.
    ///
    /// An unknown incarnation beside a known target becomes a candidate and is probed (`candidates`).
    pub fn register(
        &mut self,
        registration: TargetRegistration,
        now: Timestamp,
    ) -> RegistrationVerdict {
        self.first_registration_at.get_or_insert(now);
        let verdict = self.classify_registration(&registration);
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

    /// Returns the verdict on a registration.
    ///
    /// Sequence numbers are compared only within an incarnation: a restarted target starts them again, and otherwise its registrations,
    /// even those that say that it drains, would count as late ones of the previous incarnation.
    fn classify_registration(&self, registration: &TargetRegistration) -> RegistrationVerdict {
        let incarnation = &registration.incarnation;
        if self.ended_incarnations.contains(incarnation) {
            return RegistrationVerdict::IncarnationEnded;
        }
        let Some(target) = &self.target else {
            return RegistrationVerdict::Accepted;
        };
        if target
            .registration
            .incarnation
            .matches_without_start_time(incarnation)
        {
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

    /// Returns the fencing token for the first probe of a candidate: one that the current incarnation of the target, which may answer
    /// instead, accepts too.
    fn fencing_token_for(&self, incarnation: &IncarnationId) -> u64 {
        let target = self.target.as_ref();
        let target =
            target.filter(|target| target.registration.incarnation.name == incarnation.name);
        target.map_or(self.first_fencing_token, |target| target.fencing_token)
    }

    /// Updates the registration of the current incarnation.
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
            self.usual_speed_estimator
                .record_target(&target.registration);
        }
        if is_draining == was_draining && was_registered {
            return;
        }
        if is_draining {
            self.refuse_waiting(RunRefusal::Draining, now);
        }
        self.announce_target();
    }

    /// Removes the target or candidate that reports its own end, and ends its runs; returns whether the report was accepted.
    ///
    /// A target that reports start times drains before it ends. A report without a start time while the current incarnation does not drain
    /// is therefore a late one of an earlier incarnation and is ignored; if the target has ended after all, it becomes unresponsive.
    pub fn unregister(&mut self, incarnation: &IncarnationId, now: Timestamp) -> bool {
        if self.candidates.remove(incarnation).is_some() {
            self.record_ended_incarnation(incarnation.clone());
            return true;
        }
        let Some(target) = &self.target else {
            return false;
        };
        let current = &target.registration.incarnation;
        let is_match = current == incarnation
            || (current.matches_without_start_time(incarnation) && target.is_draining());
        if is_match {
            self.end_target_incarnation(now);
            self.announce_target();
        }
        is_match
    }

    /// Returns the target if this is its current incarnation.
    pub(super) fn target_of_incarnation(
        &mut self,
        incarnation: &IncarnationId,
    ) -> Option<&mut TargetIncarnation> {
        let target = self.target.as_mut();
        target.filter(|target| target.registration.incarnation == *incarnation)
    }

    /// Makes a new incarnation the target, which ends all runs of the previous one, and requests its list.
    pub(super) fn begin_target_incarnation(
        &mut self,
        registration: TargetRegistration,
        fencing_token: u64,
        now: Timestamp,
    ) {
        self.end_target_incarnation(now);
        self.usual_speed_estimator.record_target(&registration);
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

    /// Ends the current incarnation, if any, and all its runs.
    fn end_target_incarnation(&mut self, now: Timestamp) {
        if let Some(target) = self.target.take() {
            self.record_ended_incarnation(target.registration.incarnation);
        }
        self.end_all_runs(now);
    }

    /// Remembers an incarnation as ended, so that its late registrations are ignored.
    pub(super) fn record_ended_incarnation(&mut self, incarnation: IncarnationId) {
        self.ended_incarnations.push_back(incarnation);
        if self.ended_incarnations.len() > MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.pop_front();
        }
    }

    /// Checks whether the target is unresponsive: it has answered no renewal for
    /// [`Timings::unresponsive_timeout`](crate::Timings::unresponsive_timeout) plus the poll timeout of a renewal.
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
            self.refuse_waiting(RunRefusal::NoTarget, now);
            self.announce_target();
        }
        if self.has_lease_lapsed(now) {
            self.end_lapsed_lease(now);
        }
    }
}
