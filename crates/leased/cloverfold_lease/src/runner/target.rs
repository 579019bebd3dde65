//! The target beside a runner: its clock, its lease, its orders.

use std::time::Duration;

use crate::messages::{Refusal, RunOutcome, TargetDescription, TaskId};
use crate::resources::Resources;
use crate::runner::orders::TargetRegistration;
use crate::runner::progress::TargetPerformance;
use crate::runner::run::RunState;
use crate::runner::{Runner, RunnerAction};
use crate::timings::{Moment, TargetTime};

/// How much the fencing token rises after the target has refused one.
const FENCING_TOKEN_STEP: u64 = 10_000;
/// Lives of the target that are remembered as over.
const REMEMBERED_INCARNATIONS: usize = 16;

/// Why a target gets no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetUnfitness {
    /// No target has registered.
    NoTarget,
    /// It is about to leave.
    Draining,
    /// It answers nothing.
    Silent,
    /// It let runs stand still.
    RunsStandStill,
    /// Runs are there that nobody vouches for.
    OtherRuns,
    /// Its clock was not told yet.
    NoClock,
}

/// A reading of the target's clock and when it arrived here.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    pub(super) clock: TargetTime,
    received_at: Moment,
}

/// One incarnation of the target.
#[derive(Clone, Debug)]
pub(crate) struct TargetIncarnation {
    pub(super) registration: TargetRegistration,
    number: u64,
    pub(super) fencing_token: u64,
    clock: Option<ClockReading>,
    /// The latest deadline that any order to it has carried.
    pub(super) latest_deadline: TargetTime,
    pub(super) last_acknowledged_end: u64,
    pub(super) newest_renewal_sent_at: Moment,
    pub(super) answered_at: Moment,
    /// Whether the newest answer to a hold listed nothing that is not ours.
    pub(super) has_only_own_runs: bool,
    pub(super) is_unresponsive: bool,
    pub(super) performance: TargetPerformance,
}

impl TargetIncarnation {
    fn new(registration: TargetRegistration, number: u64, fencing_token: u64, now: Moment) -> Self {
        let reading = registration.clock.map(|clock| ClockReading {
            clock,
            received_at: now,
        });
        Self {
            registration,
            number,
            fencing_token,
            clock: reading,
            latest_deadline: 0,
            last_acknowledged_end: 0,
            newest_renewal_sent_at: Moment::ZERO,
            answered_at: now,
            has_only_own_runs: false,
            is_unresponsive: false,
            performance: TargetPerformance::new(),
        }
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn capacity(&self) -> &Resources {
        &self.registration.capacity
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.registration.is_draining
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.find_unfitness().is_none()
    }

    /// Says why the target gets no work, if there is a reason.
    pub(crate) fn find_unfitness(&self) -> Option<TargetUnfitness> {
        if self.registration.is_draining {
            Some(TargetUnfitness::Draining)
        } else if self.is_unresponsive {
            Some(TargetUnfitness::Silent)
        } else if self.performance.is_paused() {
            Some(TargetUnfitness::RunsStandStill)
        } else if !self.has_only_own_runs {
            Some(TargetUnfitness::OtherRuns)
        } else if self.clock.is_none() {
            Some(TargetUnfitness::NoClock)
        } else {
            None
        }
    }

    /// Returns what dispatchers may use of the capacity.
    pub(crate) fn offered_capacity(&self) -> Resources {
        self.performance.offer(self.capacity())
    }

    pub(crate) fn describe(&self) -> TargetDescription {
        TargetDescription {
            instance: self.registration.instance.clone(),
            service: self.registration.service.clone(),
            capacity: self.registration.capacity,
            labels: self.registration.labels.clone(),
        }
    }

    pub(super) fn read_clock(&mut self, clock: TargetTime, now: Moment) {
        self.clock = Some(ClockReading {
            clock,
            received_at: now,
        });
    }

    /// Returns the end of a lease from now; not past what the target allows, since its clock is estimated from below.
    pub(super) fn next_deadline(&self, now: Moment, lease: Duration) -> Option<TargetTime> {
        let reading = self.clock?;
        let since = now.saturating_sub(reading.received_at);
        Some(reading.clock + (since + lease).as_millis() as u64)
    }

    pub(super) fn raise_fencing_token(&mut self, refused: u64) {
        if refused >= self.fencing_token {
            self.fencing_token = refused + FENCING_TOKEN_STEP;
        }
    }
}

impl Runner {
    /// Takes what the target says of itself; what comes late from an earlier incarnation changes nothing.
    pub fn register(&mut self, registration: TargetRegistration, now: Moment) {
        if self.ended_incarnations.contains(&registration.instance) {
            return;
        }
        match &mut self.target {
            Some(target) if target.registration.instance == registration.instance => {
                if registration.sequence < target.registration.sequence {
                    return;
                }
                let has_changed = target.registration.is_draining != registration.is_draining;
                target.registration = registration;
                if has_changed {
                    if target.is_draining() {
                        self.give_back_waiting(Refusal::Draining, now);
                    }
                    self.announce_target();
                }
            }
            _ => self.begin_target_incarnation(registration, now),
        }
    }

    /// Forgets the target that says that it is gone.
    pub fn unregister(&mut self, instance: &str, now: Moment) {
        let is_present = |target: &TargetIncarnation| target.registration.instance == instance;
        if self.target.as_ref().is_some_and(is_present) {
            self.end_target_incarnation(now);
            self.announce_target();
        }
    }

    /// Ends the present incarnation, and with it all that ran there.
    fn end_target_incarnation(&mut self, now: Moment) {
        if let Some(target) = self.target.take() {
            self.ended_incarnations
                .push_back(target.registration.instance);
            if self.ended_incarnations.len() > REMEMBERED_INCARNATIONS {
                self.ended_incarnations.pop_front();
            }
        }
        self.end_all_runs(now);
    }

    fn begin_target_incarnation(&mut self, registration: TargetRegistration, now: Moment) {
        self.end_target_incarnation(now);
        self.next_sequence += 1;
        let incarnation = TargetIncarnation::new(
            registration,
            self.next_sequence,
            self.first_fencing_token,
            now,
        );
        self.target = Some(incarnation);
        self.announce_target();
        self.actions.push(RunnerAction::HoldNow);
    }

    fn end_all_runs(&mut self, now: Moment) {
        let tasks: Vec<TaskId> = self.runs.keys().cloned().collect();
        for task in tasks {
            let outcome = match self.runs[&task].state {
                RunState::Waiting { .. } => RunOutcome::NotStarted(Refusal::NoTarget),
                _ => RunOutcome::Lost,
            };
            self.end_run(&task, outcome, now);
        }
    }

    /// Notices a target that does not answer: it gets no new work, and its runs end with its lease.
    pub(super) fn watch_target(&mut self, now: Moment) {
        let silence = self.timings.silence + self.timings.hold_wait;
        let Some(target) = &mut self.target else {
            return;
        };
        if now < target.answered_at + silence {
            return;
        }
        if !target.is_unresponsive {
            target.is_unresponsive = true;
            self.give_back_waiting(Refusal::NoTarget, now);
            self.announce_target();
        }
        if self.has_lease_lapsed(now) {
            self.end_all_runs(now);
            if let Some(target) = &mut self.target {
                target.has_only_own_runs = false;
            }
        }
    }

    /// Says whether every lease that the target may hold is surely over.
    fn has_lease_lapsed(&self, now: Moment) -> bool {
        let Some(target) = &self.target else {
            return true;
        };
        let Some(reading) = target.clock else {
            return true;
        };
        let left = target.latest_deadline.saturating_sub(reading.clock);
        let longest = self.timings.stretch(Duration::from_millis(left));
        now > reading.received_at + longest + self.timings.stop
    }
}
