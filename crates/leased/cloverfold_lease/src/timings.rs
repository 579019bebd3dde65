//! Timeouts that the safety of leased runs depends on.
//!
//! [`Timings`] is a copy of the settings. It assumes that targets honor their leases and that a target's clock is slower than real time by
//! at most [`CLOCK_DRIFT_PERMILLE`].
//!
//! # Why two runs of a task never overlap
//!
//! A caller that loses its connection resubmits its job after the resend interval, possibly to another entry. By then every run that the
//! first entry started must have ended, even if that entry and the guard that executes the run are frozen. This inequality ensures it:
//!
//! ```text
//! session + lease on a slow clock + stop < resend
//!  500 ms +  650 ms / 0.98        + 50 ms = 1,214 ms < 1,300 ms
//! ```
//!
//! [`Timings::run_end_bound`] computes the left side and [`Timings::is_resend_safe`] checks the inequality. Settings that violate it are
//! rejected. The simulation in `tests/overlap.rs` checks that the inequality is sufficient and that a longer session causes overlaps.

use std::time::Duration;

/// Time on a target's monotonic clock, in milliseconds.
pub type TargetTime = u64;

/// Default of [`Timings::session_timeout`], within the inequality above.
pub const DEFAULT_SESSION_TIMEOUT: Duration = Duration::from_millis(500);
/// Default of [`Timings::lease_duration`]. A shorter lease leaves a delayed guard less time to renew it.
pub const DEFAULT_LEASE_DURATION: Duration = Duration::from_millis(650);
/// Default of [`Timings::stop_timeout`], which targets guarantee.
pub const DEFAULT_STOP_TIMEOUT: Duration = Duration::from_millis(50);
/// Default of [`Timings::resend_interval`], which callers determine.
pub const DEFAULT_RESEND_INTERVAL: Duration = Duration::from_millis(1_300);
/// Default of [`Timings::max_lease`], which the platform determines.
pub const DEFAULT_MAX_LEASE: Duration = Duration::from_millis(1_000);
/// How much slower than real time a target's clock may run, in thousandths. The platform guarantees it.
pub const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// Four heartbeats fit in a session.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(120);
const RENEWAL_POLL_TIMEOUT: Duration = Duration::from_millis(25);
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
const START_TIMEOUT: Duration = Duration::from_millis(20);
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeouts that the runners and dispatchers of an installation share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a session remains valid after the runner's clock reading that the dispatcher echoed last.
    pub session_timeout: Duration,
    /// How long a target may keep running after its lease was last renewed, on the target's clock.
    pub lease_duration: Duration,
    /// Longest lease that a target grants, on the target's clock. Targets cap longer requests to this duration.
    pub max_lease: Duration,
    /// Time within which a target ends a run after it was told to stop it.
    pub stop_timeout: Duration,
    /// How much slower than real time a target's clock may run, in thousandths.
    pub clock_drift_permille: u32,
    /// Interval between heartbeats of runners and dispatchers.
    pub heartbeat_interval: Duration,
    /// How long the target holds a lease renewal open while it waits for a run to end.
    pub renewal_poll_timeout: Duration,
    /// Time for the answer to an order to arrive, in addition to the time for which the target may hold the order.
    pub answer_margin: Duration,
    /// Maximum time to wait for the answer to a start or stop order.
    pub order_timeout: Duration,
    /// How long the answer to a start order may take before the order is sent again.
    pub start_timeout: Duration,
    /// How long a target may leave orders unanswered, in addition to the poll time of a renewal, before it receives no new work.
    pub unresponsive_timeout: Duration,
    /// Interval after which a caller resubmits a job that was not answered.
    pub resend_interval: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            session_timeout: DEFAULT_SESSION_TIMEOUT,
            lease_duration: DEFAULT_LEASE_DURATION,
            max_lease: DEFAULT_MAX_LEASE,
            stop_timeout: DEFAULT_STOP_TIMEOUT,
            clock_drift_permille: CLOCK_DRIFT_PERMILLE,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            renewal_poll_timeout: RENEWAL_POLL_TIMEOUT,
            answer_margin: ANSWER_MARGIN,
            order_timeout: ORDER_TIMEOUT,
            start_timeout: START_TIMEOUT,
            unresponsive_timeout: UNRESPONSIVE_TIMEOUT,
            resend_interval: DEFAULT_RESEND_INTERVAL,
        }
    }
}

impl Timings {
    /// Returns the default timings with these bounds on sessions, leases and stops.
    pub fn with_bounds(
        session_timeout: Duration,
        lease_duration: Duration,
        stop_timeout: Duration,
    ) -> Self {
        Self {
            session_timeout,
            lease_duration,
            stop_timeout,
            ..Self::default()
        }
    }

    /// Returns these timings with another resend interval.
    #[must_use]
    pub fn with_resend_interval(self, resend_interval: Duration) -> Self {
        Self {
            resend_interval,
            ..self
        }
    }

    /// Returns these timings with another limit on the duration of leases.
    #[must_use]
    pub fn with_max_lease(self, max_lease: Duration) -> Self {
        Self { max_lease, ..self }
    }

    /// Returns the maximum real time that can elapse while a target's clock advances by `duration`.
    pub fn max_real_duration(&self, duration: Duration) -> Duration {
        let permille = 1_000_u32.saturating_sub(self.clock_drift_permille).max(1);
        duration * 1_000 / permille
    }

    /// Returns the maximum time from the grant of a lease of this duration, on the target's clock, to the end of all runs under it.
    pub fn lease_end_bound(&self, lease_duration: Duration) -> Duration {
        self.max_real_duration(lease_duration) + self.stop_timeout
    }

    /// Returns how long after the last echo of a session a dispatcher must wait before all runs of the session have certainly ended.
    ///
    /// The runner may freeze just before the session expires, in which case the lease that it renewed last must expire too.
    pub fn run_end_bound(&self) -> Duration {
        self.session_timeout + self.lease_end_bound(self.lease_duration)
    }

    /// Returns whether all runs of a session end before a caller with this resend interval resubmits its job.
    pub fn is_resend_safe(&self, resend_interval: Duration) -> bool {
        self.run_end_bound() < resend_interval
    }
}
