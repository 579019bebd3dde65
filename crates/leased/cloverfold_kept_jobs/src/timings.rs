//! Time bounds that make it safe to hand a job over.
//!
//! # Why no two drivers' runs of a task overlap
//!
//! A driver starts runs only while its lease is valid: for [`KeptJobTimings::driver_lease`] after it *sent* a renewal that was answered
//! with a proof of leadership. A leader considers the lease expired no earlier than that span after it *received* the renewal, or after
//! its own election. From then on, the driver's remaining runs end within [`KeptJobTimings::run_termination_bound`] without further
//! messages: the driver's sessions with guards expire, a guard stops renewing the lease of a target that does not stop a kept run, and
//! that lease lapses:
//!
//! ```text
//! session + retried stop + lease on a slow clock + stop
//!  500 ms +    250 ms    +   650 ms / 0.98       + 50 ms = 1,464 ms
//! ```
//!
//! Only then does the leader assign the job to another driver.

use std::time::Duration;

/// Default of [`KeptJobTimings::driver_lease`]; longer than an election (up to 0.7 s) and two renewals.
const DRIVER_LEASE: Duration = Duration::from_millis(1_500);
/// Default of [`KeptJobTimings::renewal_interval`]; a lease spans five of them.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Default of [`KeptJobTimings::run_termination_bound`]; derived from the default session and target leases.
const RUN_TERMINATION_BOUND: Duration = Duration::from_millis(1_464);
/// Default of [`KeptJobTimings::stop_grace`]; leaves time for two retries of a stop.
const STOP_GRACE: Duration = Duration::from_millis(250);

/// Time bounds shared by drivers, guards and group leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptJobTimings {
    /// Length of a driver's lease, counted from the sending of an answered renewal.
    pub driver_lease: Duration,
    /// Interval between a driver's renewals.
    pub renewal_interval: Duration,
    /// Time within which a driver's runs end after its lease has expired.
    pub run_termination_bound: Duration,
    /// Time that a target has to stop a kept run before its guard lets the target's lease lapse.
    pub stop_grace: Duration,
}

impl Default for KeptJobTimings {
    fn default() -> Self {
        Self {
            driver_lease: DRIVER_LEASE,
            renewal_interval: RENEWAL_INTERVAL,
            run_termination_bound: RUN_TERMINATION_BOUND,
            stop_grace: STOP_GRACE,
        }
    }
}
