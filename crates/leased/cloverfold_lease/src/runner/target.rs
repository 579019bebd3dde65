//! The target beside a runner: its clock, its lease, its orders.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{Refusal, RunOutcome, TargetDescription, TaskId};
use crate::resources::Resources;
use crate::runner::held::HeldState;
use crate::runner::orders::TargetRegistration;
use crate::runner::progress::TargetConduct;
use crate::runner::{Runner, RunnerAction};
use crate::timings::TargetTime;

/// How much the token rises after the target has refused one.
const TOKEN_STEP: u64 = 10_000;
/// Lives of the target that are remembered as over.
const ENDED_LIVES: usize = 16;

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

impl TargetUnfitness {
    /// Returns the name by which logs and answers call it; it is part of the outside interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "NoTarget",
            Self::Draining => "Draining",
            Self::Silent => "Silent",
            Self::RunsStandStill => "RunsStandStill",
            Self::OtherRuns => "OtherRuns",
            Self::NoClock => "NoClock",
        }
    }
}

/// A reading of the target's clock and when it arrived here.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    pub(super) clock: TargetTime,
    received_at: Timestamp,
}

/// One life of the target.
#[derive(Clone, Debug)]
pub(crate) struct TargetLife {
    pub(super) registration: TargetRegistration,
    number: u64,
    pub(super) token: u64,
    clock: Option<ClockReading>,
    /// The latest deadline that any order to it has carried.
    pub(super) latest_deadline: TargetTime,
    pub(super) last_noted: u64,
    pub(super) newest_hold: Timestamp,
    pub(super) answered_at: Timestamp,
    /// Whether the newest answer to a hold listed nothing that is not ours.
    pub(super) is_clean: bool,
    pub(super) is_silent: bool,
    pub(super) conduct: TargetConduct,
}

impl TargetLife {
    fn new(registration: TargetRegistration, number: u64, token: u64, now: Timestamp) -> Self {
        let reading = registration.clock.map(|clock| ClockReading {
            clock,
            received_at: now,
        });
        Self {
            registration,
            number,
            token,
            clock: reading,
            latest_deadline: 0,
            last_noted: 0,
            newest_hold: Timestamp::ZERO,
            answered_at: now,
            is_clean: false,
            is_silent: false,
            conduct: TargetConduct::new(),
        }
    }

    pub(crate) fn life(&self) -> u64 {
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
        } else if self.is_silent {
            Some(TargetUnfitness::Silent)
        } else if self.conduct.is_paused() {
            Some(TargetUnfitness::RunsStandStill)
        } else if !self.is_clean {
            Some(TargetUnfitness::OtherRuns)
        } else if self.clock.is_none() {
            Some(TargetUnfitness::NoClock)
        } else {
            None
        }
    }

    /// Returns what dispatchers may use of the capacity.
    pub(crate) fn offered_capacity(&self) -> Resources {
        self.conduct.offer(self.capacity())
    }

    pub(crate) fn describe(&self) -> TargetDescription {
        TargetDescription {
            instance: self.registration.instance.clone(),
            service: self.registration.service.clone(),
            capacity: self.registration.capacity,
            labels: self.registration.labels.clone(),
        }
    }

    pub(super) fn read_clock(&mut self, clock: TargetTime, now: Timestamp) {
        self.clock = Some(ClockReading {
            clock,
            received_at: now,
        });
    }

    /// Returns the end of a lease from now; not past what the target allows, since its clock is estimated from below.
    pub(super) fn next_deadline(&self, now: Timestamp, lease: Duration) -> Option<TargetTime> {
        let reading = self.clock?;
        let since = now.saturating_duration_since(reading.received_at);
        Some(reading.clock + (since + lease).as_millis() as u64)
    }

    pub(super) fn raise_token(&mut self, refused: u64) {
        if refused >= self.token {
            self.token = refused + TOKEN_STEP;
        }
    }
}

impl Runner {
    /// Takes what the target says of itself; what comes late from an earlier life of it changes nothing.
    pub fn register(&mut self, registration: TargetRegistration, now: Timestamp) {
        if self.ended_lives.contains(&registration.instance) {
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
            _ => self.begin_target_life(registration, now),
        }
    }

    /// Forgets the target that says that it is gone.
    pub fn unregister(&mut self, instance: &str, now: Timestamp) {
        let is_present = |target: &TargetLife| target.registration.instance == instance;
        if self.target.as_ref().is_some_and(is_present) {
            self.end_target_life(now);
            self.announce_target();
        }
    }

    /// The present life is over, and with it all that ran there.
    fn end_target_life(&mut self, now: Timestamp) {
        if let Some(target) = self.target.take() {
            self.ended_lives.push_back(target.registration.instance);
            if self.ended_lives.len() > ENDED_LIVES {
                self.ended_lives.pop_front();
            }
        }
        self.end_all_runs(now);
    }

    fn begin_target_life(&mut self, registration: TargetRegistration, now: Timestamp) {
        self.end_target_life(now);
        self.next_order += 1;
        let life = TargetLife::new(registration, self.next_order, self.first_token, now);
        self.target = Some(life);
        self.announce_target();
        self.actions.push(RunnerAction::HoldNow);
    }

    fn end_all_runs(&mut self, now: Timestamp) {
        let tasks: Vec<TaskId> = self.tasks.keys().cloned().collect();
        for task in tasks {
            let outcome = match self.tasks[&task].state {
                HeldState::Waiting { .. } => RunOutcome::NotStarted(Refusal::NoTarget),
                _ => RunOutcome::Lost,
            };
            self.end_task(&task, outcome, now);
        }
    }

    /// Notices a target that does not answer: it gets no new work, and its runs end with its lease.
    pub(super) fn watch_target(&mut self, now: Timestamp) {
        let silence = self.timings.silence + self.timings.hold_wait;
        let Some(target) = &mut self.target else {
            return;
        };
        if now < target.answered_at + silence {
            return;
        }
        if !target.is_silent {
            target.is_silent = true;
            self.give_back_waiting(Refusal::NoTarget, now);
            self.announce_target();
        }
        if self.has_lease_lapsed(now) {
            self.end_all_runs(now);
            if let Some(target) = &mut self.target {
                target.is_clean = false;
            }
        }
    }

    /// Says whether every lease that the target may hold is surely over.
    fn has_lease_lapsed(&self, now: Timestamp) -> bool {
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
