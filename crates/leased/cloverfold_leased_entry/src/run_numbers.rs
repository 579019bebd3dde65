//! Run numbers, derived from the wall clock.
//!
//! A target refuses a run as `Stale` if that run or a later one of the same task has ended there, so a resubmitted job must start above its
//! earlier run numbers. If the clock of an entry is behind, the target refuses the run and the dispatcher raises the number.

use std::time::Duration;

/// Epoch of the run numbers: 2026-01-01 00:00 UTC, as a duration since the Unix epoch.
const RUN_EPOCH: Duration = Duration::from_secs(1_767_225_600);
/// Interval between consecutive run numbers, in milliseconds; far below the 1.3 s after which a caller resends its job.
const RUN_NUMBER_INTERVAL_MS: u128 = 100;

/// Returns the number of the first run of a job that is submitted now.
pub(crate) fn first_run_number(unix_now: Duration) -> u64 {
    let since_epoch = unix_now.saturating_sub(RUN_EPOCH).as_millis();
    (since_epoch / RUN_NUMBER_INTERVAL_MS) as u64 + 1
}
