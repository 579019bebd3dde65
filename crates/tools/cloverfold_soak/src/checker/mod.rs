//! Finds violated guarantees in a recorded history.
//!
//! The checks are pure functions of a [`History`], without a clock or I/O. Each module checks one group of guarantees. A guarantee without
//! a time bound always holds. One with a time bound applies only to what was undisturbed for [`Bounds::quiet_period`] ([`disturbances`]).

mod answers;
mod configurations;
mod disturbances;
mod draining;
mod evacuations;
mod overlaps;
mod planned_stops;
mod recovery;

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::records::{Elapsed, History};

/// Time bounds of the guarantees.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Guarantees with a time bound apply only to what was free of disturbances for this long.
    pub quiet_period: Duration,
    /// A draining target starts no new runs after this time from the acknowledgement.
    pub drain: Duration,
    /// An acknowledged configuration or evacuation is in force everywhere after this time.
    pub apply: Duration,
    /// The installation serves again after this time from the last fault.
    pub recovery: Duration,
    /// A request that breaks off within this time after it was sent, and none of whose tasks has run, counts as not read.
    pub unread_grace: Duration,
}

impl Default for Bounds {
    /// Returns the bounds that are documented for callers and operators.
    fn default() -> Self {
        Self {
            quiet_period: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            recovery: Duration::from_secs(12),
            unread_grace: Duration::from_millis(200),
        }
    }
}

impl Bounds {
    /// Returns bounds that are never reached, for machines of unknown speed: only guarantees without a time bound are checked.
    pub fn unbounded() -> Self {
        const NEVER: Duration = Duration::from_secs(1_000_000);
        Self {
            drain: NEVER,
            apply: NEVER,
            recovery: NEVER,
            ..Self::default()
        }
    }
}

/// A guarantee of the installation to its callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Guarantee {
    /// Runs of one task do not overlap.
    OneRunAtOnce,
    /// A job that is answered as `completed` has only finished tasks.
    WholeAnswer,
    /// A job that is answered as `failed` has a task that reached its failure limit.
    TrueFailure,
    /// Every answer is part of the protocol.
    KnownAnswer,
    /// A job whose attempts were all refused has not run.
    TrueRefusal,
    /// A draining target starts no new runs after [`Bounds::drain`].
    NoWorkForLeaving,
    /// A planned stop interrupts no request and no run.
    StopCutsNothing,
    /// A valid configuration is never refused, and an invalid one is never acknowledged.
    RightVerdict,
    /// A configuration read returns no version older than one acknowledged before it.
    NewestIsRead,
    /// A configuration read returns a text that an operator has sent.
    ShownAsSent,
    /// An acknowledged configuration is in force after [`Bounds::apply`].
    InForceInTime,
    /// An entry never reverts to an older configuration.
    NeverReverts,
    /// No task starts in an evacuated data hall after [`Bounds::apply`].
    HallStaysEmpty,
    /// A list of evacuations reflects all orders acknowledged before it.
    HallsAsOrdered,
    /// The installation serves again [`Bounds::recovery`] after the last fault.
    ServiceIsBack,
    /// An acknowledged configuration can be read after the last fault.
    AcknowledgedSurvives,
    /// No process exits unexpectedly.
    NoOwnEnd,
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The guarantee.
    #[serde(rename = "promise")]
    pub guarantee: Guarantee,
    /// When it was violated.
    pub at: Elapsed,
    /// The observation that violates it.
    #[serde(rename = "what")]
    pub description: String,
}

impl Violation {
    fn new(guarantee: Guarantee, at: Elapsed, description: String) -> Self {
        Self {
            guarantee,
            at,
            description,
        }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(f, "{at:.3} s, {:?}: {}", self.guarantee, self.description)
    }
}

/// Returns all violations, earliest first.
pub fn find_violations(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let mut violations = overlaps::check(history);
    violations.extend(answers::check(history));
    violations.extend(draining::check(history, bounds));
    violations.extend(planned_stops::check(history, bounds));
    violations.extend(configurations::check(history, bounds));
    violations.extend(evacuations::check(history, bounds));
    violations.extend(recovery::check(history, bounds));
    violations.sort_by_key(|violation| violation.at);
    violations
}
