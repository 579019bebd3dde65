//! State of one incarnation of the target: its clock, its leases, and whether it accepts work.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::TargetDescription;
use crate::resources::Resources;
use crate::runner::answers::TargetRegistration;
use crate::runner::held_ends::HeldEnds;
use crate::runner::incarnation_id::IncarnationId;
use crate::runner::performance::TargetPerformance;
use crate::timings::{TargetTime, Timings};

/// Increase of the fencing token above a refused one, in milliseconds.
///
/// A guard's first fencing token is its start time in milliseconds since the Unix epoch, so this makes up for a wall clock that was set
/// back by 10 s.
pub(super) const FENCING_TOKEN_STEP: u64 = 10_000;

/// Why a target gets no work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnavailableReason {
    /// No target has registered.
    NoTarget,
    /// It drains before a planned end.
    Draining,
    /// It does not answer renewals. Written `Silent`.
    Unresponsive,
    /// Its runs made no progress. Written `RunsStandStill`.
    StuckRuns,
    /// It executes runs that this runner did not start, or may do so before its first list. Written `OtherRuns`.
    OrphanRuns,
    /// Its clock is unknown, so no deadline can be set.
    NoClock,
    /// Its data hall is evacuated.
    Evacuated,
    /// It is held before the upkeep of its box.
    Upkeep,
    /// Its lease is withheld so that it lapses. Written `Lapsing`.
    LeaseWithheld,
}

impl UnavailableReason {
    /// Returns the stable name that is used in logs and answers.
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

/// A reading of the target's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    clock: TargetTime,
    /// When the reading arrived, on the runner's clock; it was taken earlier.
    received_at: Timestamp,
}

/// Orders to the previous incarnation under the same name, which may have reached this one.
#[derive(Clone, Copy, Debug)]
struct PredecessorOrders {
    /// The fencing token from which the target refuses those orders; `None` once it has seen it.
    awaited_token: Option<u64>,
    /// When the target had seen that token; until then, when this incarnation was found.
    refused_at: Timestamp,
}

/// State of one incarnation of the target.
#[derive(Clone, Debug)]
pub(super) struct TargetIncarnation {
    pub(super) registration: TargetRegistration,
    /// Whether it has registered; otherwise the registration is that of the previous incarnation, and it gets no work.
    pub(super) is_registered: bool,
    /// Increases with each incarnation in this process.
    number: u64,
    pub(super) fencing_token: u64,
    clock: Option<ClockReading>,
    /// The latest deadline of any order sent to it, which bounds its lease.
    latest_deadline: TargetTime,
    /// Number of the newest end that was processed.
    pub(super) last_processed_end: u64,
    /// Processed ends that the target must keep listing.
    pub(super) held_ends: HeldEnds,
    /// Whether the lease is not extended, so that it lapses.
    pub(super) is_lease_withheld: bool,
    /// When the newest answered renewal was sent.
    pub(super) newest_renewal_sent_at: Timestamp,
    /// When it last answered a renewal, initially when it registered; moved forward by the length of each stall of this process.
    pub(super) answered_at: Timestamp,
    /// Whether its newest list contained only runs of this runner.
    pub(super) has_only_own_runs: bool,
    pub(super) is_unresponsive: bool,
    /// Whether the newest renewal is unanswered; another incarnation may answer the next one.
    pub(super) is_renewal_unanswered: bool,
    /// Orders to the previous incarnation that may have extended the lease of this one; `None` without a previous incarnation.
    predecessor_orders: Option<PredecessorOrders>,
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
            is_renewal_unanswered: false,
            predecessor_orders: None,
            performance: TargetPerformance::new(),
        }
    }

    /// Returns the next incarnation under the same name, with a higher fencing token.
    pub(super) fn next_incarnation(
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
            predecessor_orders: Some(PredecessorOrders {
                awaited_token: Some(fencing_token),
                refused_at: now,
            }),
            ..Self::new(registration, number, fencing_token, now)
        }
    }

    /// Records that the target answered a renewal with this fencing token.
    pub(super) fn record_fencing_token(&mut self, fencing_token: u64, now: Timestamp) {
        let Some(orders) = &mut self.predecessor_orders else {
            return;
        };
        let is_first = orders
            .awaited_token
            .take_if(|token| fencing_token >= *token);
        if is_first.is_some() {
            orders.refused_at = now;
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

    /// Returns the part of the capacity that dispatchers may currently use.
    pub(super) fn offered_capacity(&self) -> Resources {
        self.performance.offer(self.capacity())
    }

    /// Returns the description that dispatchers get.
    pub(super) fn describe(&self) -> TargetDescription {
        TargetDescription {
            incarnation: self.registration.incarnation.name.clone(),
            service: self.registration.service.clone(),
            capacity: self.registration.capacity,
            labels: self.registration.labels.clone(),
        }
    }

    /// Records a reading of the target's clock that arrived now.
    pub(super) fn record_clock(&mut self, clock: TargetTime, now: Timestamp) {
        self.clock = Some(ClockReading {
            clock,
            received_at: now,
        });
    }

    /// Returns the number up to which the target may forget ends; 0 while a renewal is unanswered. Numbers restart in each incarnation, and
    /// a new one that answers the next renewal would forget ends that nobody has seen.
    pub(super) fn acknowledged_end(&self) -> u64 {
        if self.is_renewal_unanswered {
            return 0;
        }
        let held = self.held_ends.first_number();
        held.map_or(self.last_processed_end, |first| first - 1)
    }

    /// Returns a deadline on the target's clock, `lease` from now, and records it as sent; `None` while the clock is unknown or the lease
    /// is withheld.
    ///
    /// The estimate of the target's current time is a lower bound, since a reading is taken before it arrives here. The lease is therefore
    /// never longer than `lease` on the target's clock.
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

    /// Returns whether every lease that the target may have has certainly lapsed, so that nothing runs there.
    ///
    /// The latest deadline lies `left` after the newest reading of the target's clock. That clock may be slow, so `left` lasts up to
    /// [`Timings::max_real_duration`] here; then the target has [`Timings::stop_timeout`] to end its runs. A later reading past that point
    /// proves the lapse at once. Without a reading no order had a deadline, so there is no lease. The target limits extensions by orders to
    /// an earlier incarnation under the same name to the longest lease that it grants.
    pub(super) fn has_lease_lapsed(&self, timings: &Timings, now: Timestamp) -> bool {
        let longest = timings.lease_end_bound(timings.max_lease);
        let orders = self.predecessor_orders;
        if orders.is_some_and(|orders| now <= orders.refused_at + longest) {
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

    /// Assumes that the target's clock stopped for this long since its last reading.
    pub(super) fn allow_for_suspension(&mut self, span: Duration) {
        if let Some(reading) = &mut self.clock {
            reading.received_at += span;
        }
        if let Some(orders) = &mut self.predecessor_orders {
            orders.refused_at += span;
        }
    }

    /// Raises the fencing token above one that the target refused; a late refusal of an older, lower one is ignored.
    ///
    /// The target refuses tokens below the highest that it has seen, for example from an earlier process whose wall clock was ahead.
    pub(super) fn raise_fencing_token(&mut self, refused: u64) {
        if refused >= self.fencing_token {
            self.fencing_token = refused + FENCING_TOKEN_STEP;
        }
    }
}
