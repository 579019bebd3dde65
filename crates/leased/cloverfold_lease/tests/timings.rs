//! The inequality that keeps two runs of a task apart.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    DEFAULT_LEASE, DEFAULT_RESEND, DEFAULT_STOP, JOB_STALL, Timings, is_request_outdated,
};

#[test]
fn runs_are_over_before_a_caller_sends_again_by_default() {
    let timings = Timings::default();

    assert_eq!(timings.runs_over_after().as_millis(), 1_213);
    assert!(timings.are_runs_over_before(DEFAULT_RESEND));
}

#[test]
fn a_session_that_is_too_long_breaks_the_inequality() {
    // 586 ms + 650 ms / 0.98 + 50 ms is 1,299.3 ms; one more is too long.
    let longest = Duration::from_millis(586);
    let longer = Duration::from_millis(587);

    let longest = Timings::with_bounds(longest, DEFAULT_LEASE, DEFAULT_STOP);
    let longer = Timings::with_bounds(longer, DEFAULT_LEASE, DEFAULT_STOP);

    assert!(longest.are_runs_over_before(DEFAULT_RESEND));
    assert!(!longer.are_runs_over_before(DEFAULT_RESEND));
}

// Requests that had waited for 300 ms were refused although jobs as old went on.
#[test]
fn a_request_outlives_the_stalls_that_open_jobs_outlive() {
    let last_tick_at = Timestamp::from_start(Duration::from_secs(1));
    let longest = last_tick_at + JOB_STALL;

    assert!(!is_request_outdated(last_tick_at, longest));
    assert!(is_request_outdated(
        last_tick_at,
        longest + Duration::from_millis(1)
    ));
    assert!(JOB_STALL < DEFAULT_RESEND, "callers ask elsewhere later");
}
