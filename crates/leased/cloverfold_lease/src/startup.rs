//! Decision: for how long an entry that has just started waits for what it needs to serve.
//!
//! Processes of an installation that had lost its power start at the same moment. An entry is asked by callers from its first
//! millisecond on, and gets its configuration some 20 ms and its guards some 40 ms later. What comes in between is served if it waits.
//!
//! Rule: a request that comes within [`STARTUP_SPAN`] of the start waits for the first configuration for [`CONFIGURATION_WAIT`] at most, and its job
//! for the first target for as long as jobs wait for a place (`deadlines`). Later such a request is refused at once: it
//! could only wait in vain.
//!
//! Owns no state. Relies on a clock that begins with the process.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// An entry counts as just started for so long. Above the time that guards take to connect after a start of all processes, well
/// below the seconds for which control processes or targets may be away.
pub const STARTUP_SPAN: Duration = Duration::from_millis(500);
/// How long a request waits for the first configuration. Three times what that took after a loss of all power (20 ms in a play on one
/// site).
const CONFIGURATION_WAIT: Duration = Duration::from_millis(60);

/// Returns whether a process has just started.
pub(crate) fn is_starting(now: Timestamp) -> bool {
    now < Timestamp::ZERO + STARTUP_SPAN
}

/// Returns how long a request that comes now waits for the first configuration; `None` if it is refused at once.
pub fn find_configuration_wait(now: Timestamp) -> Option<Duration> {
    is_starting(now).then_some(CONFIGURATION_WAIT)
}
