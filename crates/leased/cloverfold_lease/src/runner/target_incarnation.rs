//! One incarnation of the target beside a runner: its clock, its leases, whether it accepts work.
//!
//! Tracks the target from its registration to its end.
//! Owns what is known of it. Relies on [`TargetPerformance`] for the judgement by its runs, on [`Timings`] for the bounds.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::TargetDescription;
use crate::resources::Resources;
use crate::runner::answers::TargetRegistration;
use crate::runner::held_ends::HeldEnds;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::performance::TargetPerformance;
use crate::timings::{TargetTime, Timings};

/// How far the fencing token rises above one that the target has refused.
///
/// Fencing tokens are milliseconds since 1970 at the start of the guard (docs/design/6-leased-runs.md, "Fencing tokens"), so this
/// is 10 s of a clock that was put back.
pub(super) const FENCING_TOKEN_STEP: u64 = 10_000;

/// Why a target gets no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// No target has registered.
    NoTarget,
    /// It is about to leave.
    Draining,
    /// It answers no renewals. Written `Silent`.
    Unresponsive,
    /// Its runs made no progress. Written `RunsStandStill`.
    StuckRuns,
    /// It executes runs that this runner did not start. Written `OtherRuns`.
    OrphanRuns,
    /// Its clock is not known yet, so no deadline can be set.
    NoClock,
    /// Its data hall is evacuated.
    Evacuated,
    /// Its box is about to have its upkeep.
    Upkeep,
    /// Its lease is left to lapse. Written `Lapsing`.
    LeaseWithheld,
}

impl UnavailableReason {
    /// Returns the name by which logs and answers call it; it is part of the outside interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoTarget => "NoTarget",
            Self::Draining => "Draining",
            Self::Unresponsive => "Silent",
            Self::StuckRuns => "RunsStandStill",
            Self::OrphanRuns => "OtherRuns",
            Self::NoClock => "NoClock",
            Self::Evacuated => "Evacuated",
            Self::Upkeep => "Upkeep",
            Self::LeaseWithheld => "Lapsing",
        }
    }
}

/// A reading of the target's clock and when it arrived here.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: TargetTime,
    /// On the runner's clock. The reading was made before this.
    received_at: Timestamp,
}

/// The orders that were sent to the incarnation before under the same name, and may have reached this one.
#[derive(Clone, Copy, Debug)]
struct OrdersBefore {
    /// The fencing token with which the target is to refuse them; `None` once it has seen it.
    awaited_token: Option<u64>,
    /// When it had seen it; until then, when this incarnation was found.
    refused_at: Timestamp,
}

/// What is known of one incarnation of the target.
#[derive(Clone, Debug)]
pub(super) struct TargetIncarnation {
    pub(super) registration: TargetRegistration,
    /// Whether it has registered itself; otherwise the registration is that of the incarnation before, and it gets no work.
    pub(super) is_registered: bool,
    /// Rises with each incarnation in this process.
    number: u64,
    pub(super) fencing_token: u64,
    clock: Option<ClockReading>,
    /// The latest deadline that any order to it has carried: no lease of it ends later.
    latest_deadline: TargetTime,
    /// Number of the newest end that was processed.
    pub(super) last_processed_end: u64,
    /// Ends that were processed and that the target must not forget yet.
    pub(super) held_ends: HeldEnds,
    /// Whether the lease is not extended, so that it lapses.
    pub(super) is_lease_withheld: bool,
    /// When the newest renewal that it answered was sent.
    pub(super) newest_renewal_sent_at: Timestamp,
    /// When it answered a renewal last, at first when it registered; moved on by the length of each stall of this process.
    pub(super) answered_at: Timestamp,
    /// Whether its newest list contained nothing but runs of this runner.
    pub(super) has_only_own_runs: bool,
    pub(super) is_unresponsive: bool,
    /// Whether the newest renewal was not answered: another incarnation may answer the next one.
    pub(super) is_answer_missing: bool,
    /// Until when orders to the incarnation before it under its name may have extended its lease; `None` for a target that had none.
    orders_before: Option<OrdersBefore>,
    pub(super) performance: TargetPerformance,
}

impl TargetIncarnation {
    pub(super) fn new(
        registration: TargetRegistration,
        number: u64,
        fencing_token: u64,
        now: Timestamp,
    ) -> Self {
        let clock = registration.clock.map(|clock| ClockReading {
            clock,
            received_at: now,
        });
        Self {
            registration,
            is_registered: true,
            number,
            fencing_token,
            clock,
            latest_deadline: 0,
            last_processed_end: 0,
            held_ends: HeldEnds::default(),
            is_lease_withheld: false,
            newest_renewal_sent_at: Timestamp::ZERO,
            answered_at: now,
            has_only_own_runs: false,
            is_unresponsive: false,
            is_answer_missing: false,
            orders_before: None,
            performance: TargetPerformance::new(),
        }
    }

    /// Returns the next incarnation of the target under the same name, with a fencing token above that of this one.
    pub(super) fn succeed(
        &self,
        incarnation: IncarnationId,
        registration: Option<TargetRegistration>,
        number: u64,
        now: Timestamp,
    ) -> Self {
        let is_registered = registration.is_some();
        let registration = registration.unwrap_or_else(|| TargetRegistration {
            incarnation,
            is_draining: false,
            clock: None,
            sequence: 0,
            ..self.registration.clone()
        });
        let fencing_token = self.fencing_token + 1;
        Self {
            is_registered,
            orders_before: Some(OrdersBefore {
                awaited_token: Some(fencing_token),
                refused_at: now,
            }),
            ..Self::new(registration, number, fencing_token, now)
        }
    }

    /// Records that it has answered a list that was asked for with this fencing token.
    pub(super) fn record_fence(&mut self, fencing_token: u64, now: Timestamp) {
        let Some(before) = &mut self.orders_before else {
            return;
        };
        let is_first = before
            .awaited_token
            .take_if(|token| fencing_token >= *token);
        if is_first.is_some() {
            before.refused_at = now;
        }
    }

    pub(super) fn number(&self) -> u64 {
        self.number
    }

    pub(super) fn capacity(&self) -> &Resources {
        &self.registration.capacity
    }

    pub(super) fn is_draining(&self) -> bool {
        self.registration.is_draining
    }

    pub(super) fn accepts_work(&self) -> bool {
        self.find_unavailable_reason().is_none()
    }

    /// Returns why the target gets no work, if there is a reason; the first that applies.
    ///
    /// It gets work while it does not drain, answers, lets its runs make progress, runs nothing that this runner did not start, its
    /// clock is known, and its lease is extended.
    pub(super) fn find_unavailable_reason(&self) -> Option<UnavailableReason> {
        if !self.is_registered {
            Some(UnavailableReason::NoTarget)
        } else if self.registration.is_draining {
            Some(UnavailableReason::Draining)
        } else if self.is_unresponsive {
            Some(UnavailableReason::Unresponsive)
        } else if self.performance.is_paused() {
            Some(UnavailableReason::StuckRuns)
        } else if !self.has_only_own_runs {
            Some(UnavailableReason::OrphanRuns)
        } else if self.clock.is_none() {
            Some(UnavailableReason::NoClock)
        } else if self.is_lease_withheld {
            Some(UnavailableReason::LeaseWithheld)
        } else {
            None
        }
    }

    /// Returns the part of the capacity that dispatchers may use at present.
    pub(super) fn offered_capacity(&self) -> Resources {
        self.performance.offer(self.capacity())
    }

    /// Returns what dispatchers are sent about the target.
    pub(super) fn describe(&self) -> TargetDescription {
        TargetDescription {
            incarnation: self.registration.incarnation.name.clone(),
            service: self.registration.service.clone(),
            capacity: self.registration.capacity,
            labels: self.registration.labels.clone(),
        }
    }

    /// Records a reading of the target's clock that arrives now.
    pub(super) fn read_clock(&mut self, clock: TargetTime, now: Timestamp) {
        self.clock = Some(ClockReading {
            clock,
            received_at: now,
        });
    }

    /// Returns the number up to which the target may forget ends: none while a renewal is unanswered. Numbers begin anew in each
    /// incarnation, and another one that answers the next renewal would forget ends that nobody has seen.
    pub(super) fn acknowledged_end(&self) -> u64 {
        if self.is_answer_missing {
            return 0;
        }
        let held = self.held_ends.first();
        held.map_or(self.last_processed_end, |first| first - 1)
    }

    /// Returns a deadline on the target's clock, `lease` from now, and records it as one that an order carries; none while the clock is
    /// not known or the lease is left to lapse.
    ///
    /// The target's present time is estimated from below: its reading was made before it arrived here. So the lease does not exceed what
    /// the target allows.
    pub(super) fn extend_lease(&mut self, now: Timestamp, lease: Duration) -> Option<TargetTime> {
        if self.is_lease_withheld {
            return None;
        }
        let reading = self.clock?;
        let since = now.saturating_duration_since(reading.received_at);
        let deadline = reading.clock + (since + lease).as_millis() as u64;
        self.latest_deadline = self.latest_deadline.max(deadline);
        Some(deadline)
    }

    /// Returns whether every lease that the target may have is certainly over, so that nothing runs there.
    ///
    /// The latest deadline that was sent lies `left` after the newest reading of the target's clock. That clock may be slow, so `left` lasts
    /// up to [`Timings::max_real_duration`] of it here; then the target has [`Timings::stop_timeout`] to end its runs. A reading that is later than
    /// that shows it at once. Without a reading no order had a deadline, so there is no lease. What orders to an earlier incarnation of the same
    /// name have extended is cut by the target to the longest lease that it grants.
    pub(super) fn has_lease_lapsed(&self, timings: &Timings, now: Timestamp) -> bool {
        let longest = timings.lease_end_bound(timings.max_lease);
        let before = self.orders_before;
        if before.is_some_and(|before| now <= before.refused_at + longest) {
            return false;
        }
        let Some(reading) = self.clock else {
            return true;
        };
        if reading.clock > self.latest_deadline + timings.stop_timeout.as_millis() as u64 {
            return true;
        }
        let left = self.latest_deadline.saturating_sub(reading.clock);
        now > reading.received_at + timings.lease_end_bound(Duration::from_millis(left))
    }

    /// Takes the target's clock to have stood still for so long since it was read last.
    pub(super) fn allow_for_suspension(&mut self, span: Duration) {
        if let Some(reading) = &mut self.clock {
            reading.received_at += span;
        }
        if let Some(before) = &mut self.orders_before {
            before.refused_at += span;
        }
    }

    /// Raises the fencing token above one that the target has refused; an answer to an older, lower one changes nothing.
    ///
    /// The target refuses fencing tokens below the highest that it has seen: one of an earlier process whose clock was ahead.
    pub(super) fn raise_fencing_token(&mut self, refused: u64) {
        if refused >= self.fencing_token {
            self.fencing_token = refused + FENCING_TOKEN_STEP;
        }
    }
}
