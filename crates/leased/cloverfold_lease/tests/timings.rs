//! The inequality that prevents overlapping runs of a task, and the stall limit of jobs.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    DEFAULT_LEASE_DURATION, DEFAULT_RESEND_INTERVAL, DEFAULT_STOP_TIMEOUT, JOB_STALL_LIMIT,
    Timings, is_request_outdated,
};

#[test]
fn by_default_runs_end_before_a_caller_resubmits() {
    let timings = Timings::default();

    assert_eq!(timings.run_end_bound().as_millis(), 1_213);
    assert!(timings.is_resend_safe(DEFAULT_RESEND_INTERVAL));
}

#[test]
fn a_session_that_is_too_long_breaks_the_inequality() {
    // 586 ms + 650 ms / 0.98 + 50 ms = 1,299.3 ms, just below the resend interval.
    let longest = Duration::from_millis(586);
    let longer = Duration::from_millis(587);

    let longest = Timings::with_bounds(longest, DEFAULT_LEASE_DURATION, DEFAULT_STOP_TIMEOUT);
    let longer = Timings::with_bounds(longer, DEFAULT_LEASE_DURATION, DEFAULT_STOP_TIMEOUT);

    assert!(longest.is_resend_safe(DEFAULT_RESEND_INTERVAL));
    assert!(!longer.is_resend_safe(DEFAULT_RESEND_INTERVAL));
}

// Guards against refusing requests that are no older than jobs that continue.
#[test]
fn requests_and_open_jobs_have_the_same_stall_limit() {
    let last_tick_at = Timestamp::from_start(Duration::from_secs(1));
    let longest = last_tick_at + JOB_STALL_LIMIT;

    assert!(!is_request_outdated(last_tick_at, longest));
    assert!(is_request_outdated(
        last_tick_at,
        longest + Duration::from_millis(1)
    ));
    assert!(
        JOB_STALL_LIMIT < DEFAULT_RESEND_INTERVAL,
        "callers resubmit after the limit"
    );
}
