//! How long a newly started entry holds requests while it connects to the rest of the installation.
//!
//! After a power loss all processes of an installation start at the same time. Callers reach an entry before it has received its
//! configuration and connected to its guards. Holding their requests for that time avoids refusing them.
//!
//! A request that arrives within [`STARTUP_PERIOD`] waits up to [`CONFIGURATION_TIMEOUT`] for the first configuration. Its job then
//! waits for the first target until its queue deadline (`deadlines`). Later requests are refused at once, since a missing configuration or
//! target then indicates a failure.
//!
//! [`Timestamp::ZERO`] is the start of the process.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// How long an entry counts as newly started. Longer than guards take to connect when all processes start at once, and shorter than an
/// outage of control processes or targets.
pub const STARTUP_PERIOD: Duration = Duration::from_millis(500);
/// How long a request waits for the first configuration, which arrives within some 20 ms after a loss of all power.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(60);

/// Returns whether the process is within its startup period.
pub(crate) fn is_starting(now: Timestamp) -> bool {
    now < Timestamp::ZERO + STARTUP_PERIOD
}

/// Returns how long a request that arrives now waits for the first configuration, or `None` if it is refused at once.
pub fn configuration_timeout(now: Timestamp) -> Option<Duration> {
    is_starting(now).then_some(CONFIGURATION_TIMEOUT)
}
