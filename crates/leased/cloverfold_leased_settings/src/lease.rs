//! The bounds that leases rest on.
//!
//! Owns the check that they are safe together. Relies on `cloverfold_lease` for the inequality and the defaults.

use std::time::Duration;

use cloverfold_lease::{
    DEFAULT_LEASE_DURATION, DEFAULT_MAX_LEASE, DEFAULT_RESEND_INTERVAL, DEFAULT_SESSION_TIMEOUT,
    DEFAULT_STOP_TIMEOUT, Timings,
};
use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// Shortest lease that leaves time for a lost renewal, in milliseconds. Chosen, not measured.
const MIN_LEASE_MS: u64 = 200;

/// Bounds that leases rest on; the same at every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// How long a target may run on when its guard is silent, in milliseconds.
    pub lease_ms: u64,
    /// The longest lease that a target grants, whatever it is told, in milliseconds.
    pub longest_lease_ms: u64,
    /// How long a guard works on for an entry that is silent, in milliseconds.
    pub session_ms: u64,
    /// How long a target may take to end a stopped run, in milliseconds.
    pub stop_ms: u64,
    /// After this a caller may send again what got no answer, in milliseconds.
    pub resend_ms: u64,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            lease_ms: DEFAULT_LEASE_DURATION.as_millis() as u64,
            longest_lease_ms: DEFAULT_MAX_LEASE.as_millis() as u64,
            session_ms: DEFAULT_SESSION_TIMEOUT.as_millis() as u64,
            stop_ms: DEFAULT_STOP_TIMEOUT.as_millis() as u64,
            resend_ms: DEFAULT_RESEND_INTERVAL.as_millis() as u64,
        }
    }
}

impl LeaseSettings {
    /// Returns the timings of dispatchers and runners under these bounds.
    pub fn timings(&self) -> Timings {
        Timings::with_bounds(
            Duration::from_millis(self.session_ms),
            Duration::from_millis(self.lease_ms),
            Duration::from_millis(self.stop_ms),
        )
        .with_max_lease(Duration::from_millis(self.longest_lease_ms))
        .with_resend_interval(Duration::from_millis(self.resend_ms))
    }

    pub(crate) fn validate(&self, errors: &mut ValidationErrors) {
        let resend = Duration::from_millis(self.resend_ms);
        errors.add_if(
            !self.timings().is_resend_safe(resend),
            "lease.session_ms",
            "with lease_ms and stop_ms it must be over before resend_ms; make one of them shorter",
        );
        errors.add_if(
            self.longest_lease_ms < self.lease_ms,
            "lease.longest_lease_ms",
            "must be at least lease_ms: targets cut longer leases to it",
        );
        errors.add_if(
            self.lease_ms < MIN_LEASE_MS,
            "lease.lease_ms",
            "must be at least 200, so that a lost renewal can be repeated",
        );
    }
}
