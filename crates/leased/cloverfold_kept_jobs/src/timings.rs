//! The bounds in time that handing on a job rests on.
//!
//! # Why no two drivers' runs of a task overlap
//!
//! A driver begins runs only while its lease is valid: [`KeptJobTimings::driver_lease`] from when it *sent* a renewal that was answered with
//! proof. A leader counts a driver as over no earlier than that span after it *received* a renewal, or after it was elected. From
//! then on the runs of the driver end by themselves within [`KeptJobTimings::run_termination_bound`]: its sessions with guards end, a guard
//! stops renewing the lease of a target that does not stop a kept run, and that lease lapses:
//!
//! ```text
//! session + stop repeated in vain + lease on a slow clock + stop
//!  500 ms +        250 ms         +   650 ms / 0.98       + 50 ms = 1,464 ms
//! ```
//!
//! Only then is the job given to another driver.

use std::time::Duration;

/// [`KeptJobTimings::driver_lease`]. Chosen, not measured: longer than the longest election (0.7 s) and two renewals.
const DRIVER_LEASE: Duration = Duration::from_millis(1_500);
/// [`KeptJobTimings::renewal_interval`]. Chosen, not measured: five fit into a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// [`KeptJobTimings::run_termination_bound`] with the default leases.
const RUN_TERMINATION_BOUND: Duration = Duration::from_millis(1_464);
/// [`KeptJobTimings::stop_grace`]. Chosen, not measured: a stop is repeated twice in it.
const STOP_GRACE: Duration = Duration::from_millis(250);

/// Bounds that drivers, guards and leaders of groups share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptJobTimings {
    /// How long a driver may drive after it sent a renewal that was answered.
    pub driver_lease: Duration,
    /// How often it renews.
    pub renewal_interval: Duration,
    /// How long after a driver is over its last run is over.
    pub run_termination_bound: Duration,
    /// How long a stop of a kept run may show no effect before the guard lets the lease of the target lapse.
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
