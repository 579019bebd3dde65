//! The numbers of runs.
//!
//! A target refuses a run (`Stale`) if it has seen that run or a later one of the task end, so a job that is submitted again must begin above
//! its earlier runs. Owns no state.
//! Relies on the wall clocks of the entries; where one is behind, the run is refused and the dispatcher raises the number.

use std::time::Duration;

/// Start of the numbers: 2026-01-01 00:00 UTC, as a span since the Unix epoch.
const RUN_EPOCH: Duration = Duration::from_secs(1_767_225_600);
/// Span of one number, in milliseconds. A caller sends its job again 1.3 s after its entry is lost, 13 numbers later.
const RUN_UNIT_MS: u128 = 100;

/// Returns the number of the first run of a job that is submitted now. It is drawn from the clock, so that a job that is submitted again, here
/// or at another entry, begins above the numbers of its earlier runs.
pub(crate) fn first_run_number(unix_now: Duration) -> u64 {
    let since_epoch = unix_now.saturating_sub(RUN_EPOCH).as_millis();
    (since_epoch / RUN_UNIT_MS) as u64 + 1
}
