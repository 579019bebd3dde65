//! The bounds in time that leased runs rest on.
//!
//! Owns no state: [`Timings`] is a copy of the settings. Relies on targets that keep their leases, and on their clocks,
//! which may be slower than a true one by [`CLOCK_DRIFT_PERMILLE`] at the most.
//!
//! # Why no two runs of a task overlap
//!
//! A caller that lost its connection sends its job again after the resend interval, perhaps to another entry. By then each run
//! that the first entry started must be over, also if that entry and the guard of the run are frozen. One inequality guarantees it:
//!
//! ```text
//! session + lease on a slow clock + stop < resend
//!  500 ms +  650 ms / 0.98        + 50 ms = 1,214 ms < 1,300 ms
//! ```
//!
//! The left side is [`Timings::runs_over_after`], the whole [`Timings::are_runs_over_before`]; the settings are refused unless it
//! holds. The simulated world in `tests/overlap.rs` shows both that it suffices and that a longer session breaks it.

use std::time::Duration;

/// Time on a target's own steady clock, in milliseconds.
pub type TargetTime = u64;

/// How long a session is valid unless the settings say otherwise. Chosen within the inequality above (design note 6), not
/// measured.
pub const DEFAULT_SESSION: Duration = Duration::from_millis(500);
/// How long a lease lasts unless the settings say otherwise. Chosen within the inequality above, not measured; a shorter one
/// was ruled out, since it leaves less time for a guard that is delayed (commit 17223cb).
pub const DEFAULT_LEASE: Duration = Duration::from_millis(650);
/// How long a target may take to end a stopped run unless the settings say otherwise. Kept by targets (design note 6), not
/// measured.
pub const DEFAULT_STOP: Duration = Duration::from_millis(50);
/// After this a caller sends again what got no answer, unless the settings say otherwise. Given by the callers (design note 6).
pub const DEFAULT_RESEND: Duration = Duration::from_millis(1_300);
/// The longest lease that a target grants, whatever an order says, unless the settings say otherwise. Given by the platform.
pub const DEFAULT_LONGEST_LEASE: Duration = Duration::from_millis(1_000);
/// How much slower than a true clock a target's may be, in thousandths. Given by the platform (design note 6).
pub const CLOCK_DRIFT_PERMILLE: u32 = 20;

/// [`Timings::heartbeat`]: four fit in a session.
const HEARTBEAT: Duration = Duration::from_millis(120);
/// [`Timings::renewal_wait`].
const RENEWAL_WAIT: Duration = Duration::from_millis(25);
/// [`Timings::answer_slack`].
const ANSWER_SLACK: Duration = Duration::from_millis(15);
/// [`Timings::order_timeout`].
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// [`Timings::start_timeout`].
const START_TIMEOUT: Duration = Duration::from_millis(20);
/// [`Timings::silence`].
const SILENCE: Duration = Duration::from_millis(200);

/// Bounds that runners and dispatchers of an installation share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a session is valid after the runner's clock reading that was last echoed.
    pub session: Duration,
    /// How long a target may run on after the runner last renewed its lease, on the target's clock.
    pub lease: Duration,
    /// The longest lease that a target grants, on its clock: an order that says more is cut to this.
    pub longest_lease: Duration,
    /// How long a target may take to end a stopped run.
    pub stop: Duration,
    /// How much slower a target's clock may be, in thousandths.
    pub clock_drift_permille: u32,
    /// Interval of the heartbeats between runners and dispatchers.
    pub heartbeat: Duration,
    /// How long a renewal waits at the target for the end of a run.
    pub renewal_wait: Duration,
    /// How long the answer to an order may take beyond the time that it may wait.
    pub answer_slack: Duration,
    /// How long the answer to a start or a stop is waited for at all.
    pub order_timeout: Duration,
    /// How long the answer to a start may take before the start is sent again.
    pub start_timeout: Duration,
    /// How long a target may answer nothing, beyond the wait of a renewal, before it gets no new work.
    pub silence: Duration,
    /// After this a caller sends again what got no answer.
    pub resend: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            session: DEFAULT_SESSION,
            lease: DEFAULT_LEASE,
            longest_lease: DEFAULT_LONGEST_LEASE,
            stop: DEFAULT_STOP,
            clock_drift_permille: CLOCK_DRIFT_PERMILLE,
            heartbeat: HEARTBEAT,
            renewal_wait: RENEWAL_WAIT,
            answer_slack: ANSWER_SLACK,
            order_timeout: ORDER_TIMEOUT,
            start_timeout: START_TIMEOUT,
            silence: SILENCE,
            resend: DEFAULT_RESEND,
        }
    }
}

impl Timings {
    /// Returns the timings of an installation that sets the bounds of its leases itself.
    pub fn with_bounds(session: Duration, lease: Duration, stop: Duration) -> Self {
        Self {
            session,
            lease,
            stop,
            ..Self::default()
        }
    }

    /// Returns the same timings for callers that send again what got no answer after `resend`.
    #[must_use]
    pub fn with_resend(self, resend: Duration) -> Self {
        Self { resend, ..self }
    }

    /// Returns the same timings for targets that grant no lease longer than this.
    #[must_use]
    pub fn with_longest_lease(self, longest_lease: Duration) -> Self {
        Self {
            longest_lease,
            ..self
        }
    }

    /// Returns the longest time that `span` of a target's clock can last on a true clock.
    pub fn longest_true_span(&self, span: Duration) -> Duration {
        let permille = 1_000_u32.saturating_sub(self.clock_drift_permille).max(1);
        span * 1_000 / permille
    }

    /// Returns how long after a lease of this length was given, on the target's clock, all that runs under it is over.
    pub fn over_after_lease(&self, lease: Duration) -> Duration {
        self.longest_true_span(lease) + self.stop
    }

    /// Returns how long after its last echo a dispatcher must wait until all that the session started is over.
    ///
    /// The runner may be frozen just before the session ends; then the lease that it renewed last must lapse.
    pub fn runs_over_after(&self) -> Duration {
        self.session + self.over_after_lease(self.lease)
    }

    /// Returns whether the safety inequality holds: all runs of a session are over before a caller sends its job again.
    pub fn are_runs_over_before(&self, resend: Duration) -> bool {
        self.runs_over_after() < resend
    }
}
