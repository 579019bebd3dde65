//! Which promises broke, from what was seen alone.
//!
//! Pure code over a [`History`], no clock and no I/O; one module for each group of promises. A promise without a bound in time holds at
//! any moment. One with a bound binds only what nothing has disturbed for [`Bounds::quiet_period`] ([`calm`]).

mod answers;
mod calm;
mod configurations;
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
    /// A target that leaves gets no new work so long after the acknowledgement.
    pub drain: Duration,
    /// An acknowledged configuration or evacuation is in force everywhere after so long.
    pub apply: Duration,
    /// Service is back so long after the last fault.
    pub recovery: Duration,
    /// A request that breaks off within this time after it was sent, and none of whose tasks has run, counts as not read.
    pub unread_grace: Duration,
}

impl Default for Bounds {
    /// The bounds of the pages for callers and operators.
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
    /// No two runs of a task at once.
    OneRunAtOnce,
    /// `completed` means that each task is done.
    WholeAnswer,
    /// `failed` means that a task has failed as often as it may.
    TrueFailure,
    /// An answer is one of those that there are.
    KnownAnswer,
    /// A job of which every send was refused has not run.
    TrueRefusal,
    /// A target that leaves gets no new work after the bound.
    NoWorkForLeaving,
    /// A planned stop cuts nothing.
    StopCutsNothing,
    /// A valid configuration is not refused, an invalid one not acknowledged.
    RightVerdict,
    /// A read shows nothing older than what was acknowledged before it.
    NewestIsRead,
    /// A read shows a configuration as it was sent.
    ShownAsSent,
    /// An acknowledged configuration is in force after the bound.
    InForceInTime,
    /// An entry does not fall back to an older configuration.
    NeverReverts,
    /// No task starts in an evacuated hall after the bound.
    HallStaysEmpty,
    /// A list of evacuations shows what was acknowledged before it.
    HallsAsOrdered,
    /// Service is back after the last fault.
    ServiceIsBack,
    /// What was acknowledged can be read after the last fault.
    AcknowledgedSurvives,
    /// No process ends by itself.
    NoOwnEnd,
}

/// A promise that broke.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Which.
    pub promise: Guarantee,
    /// When.
    pub at: Elapsed,
    /// What was seen.
    pub what: String,
}

impl Violation {
    fn new(promise: Guarantee, at: Elapsed, what: String) -> Self {
        Self { promise, at, what }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(f, "{at:.3} s, {:?}: {}", self.promise, self.what)
    }
}

/// Returns every promise that broke, the earliest first.
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
