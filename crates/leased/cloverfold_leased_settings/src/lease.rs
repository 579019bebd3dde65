//! Timing bounds of leases, with the validation that they are safe in combination.

use std::time::Duration;

use cloverfold_lease::{
    DEFAULT_LEASE_DURATION, DEFAULT_MAX_LEASE, DEFAULT_RESEND_INTERVAL, DEFAULT_SESSION_TIMEOUT,
    DEFAULT_STOP_TIMEOUT, Timings,
};
use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// Minimum lease duration, in milliseconds; leaves time to retry a lost renewal.
const MIN_LEASE_MS: u64 = 200;

/// Timing bounds of leases; they must be the same for all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LeaseSettings {
    /// Lease duration: how long a target may continue its runs without a renewal from its guard, in milliseconds.
    pub lease_ms: u64,
    /// Maximum lease duration that a target grants, regardless of the requested one, in milliseconds.
    pub longest_lease_ms: u64,
    /// Session timeout: how long a guard continues the runs of an entry without a message from it, in milliseconds.
    pub session_ms: u64,
    /// Stop timeout: how long a target may take to end a stopped run, in milliseconds.
    pub stop_ms: u64,
    /// Resend interval: how long after a request without an answer a caller may resend it, in milliseconds.
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
    /// Returns the timings of dispatchers and runners for these bounds.
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
