//! The bounds in time that leased runs rest on.

use std::time::Duration;

/// Time on a target's own steady clock, in milliseconds.
pub type TargetTime = u64;

/// Bounds that runners and dispatchers of an installation share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a session is valid after the runner's clock reading that was last echoed.
    pub session: Duration,
    /// How long a target may run on after the runner last renewed its lease.
    pub lease: Duration,
    /// How long a target may take to end a stopped run.
    pub stop: Duration,
    /// How much slower a target's clock may be, in thousandths.
    pub clock_drift_permille: u32,
    /// How often runners and dispatchers tell each other that they live.
    pub heartbeat: Duration,
    /// How long a hold waits at the target for an end.
    pub hold_wait: Duration,
    /// How long the answer to an order may take beyond the time that it may wait.
    pub answer_slack: Duration,
    /// How long the answer to a start or a stop is waited for at all.
    pub order_timeout: Duration,
    /// How long the answer to a start may take before the start is sent again.
    pub start_timeout: Duration,
    /// A gap between two calls of a dispatcher from which callers may have left it and asked elsewhere without its knowing.
    pub stall: Duration,
    /// How long a target may answer nothing before it gets no new work.
    pub silence: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            session: Duration::from_millis(500),
            lease: Duration::from_millis(650),
            stop: Duration::from_millis(50),
            clock_drift_permille: 20,
            heartbeat: Duration::from_millis(120),
            hold_wait: Duration::from_millis(25),
            answer_slack: Duration::from_millis(15),
            order_timeout: Duration::from_millis(300),
            start_timeout: Duration::from_millis(20),
            stall: Duration::from_millis(700),
            silence: Duration::from_millis(200),
        }
    }
}

impl Timings {
    /// Takes the bounds that an installation sets itself.
    pub fn with_bounds(session: Duration, lease: Duration, stop: Duration) -> Self {
        Self {
            session,
            lease,
            stop,
            ..Self::default()
        }
    }

    /// Returns how long a span of the target's clock may last on a clock that is true.
    pub fn stretch(&self, span: Duration) -> Duration {
        let permille = 1_000_u32.saturating_sub(self.clock_drift_permille).max(1);
        span * 1_000 / permille
    }

    /// Returns how long after its last echo a dispatcher must wait until all that the session started is over.
    ///
    /// The runner may be frozen just before the session ends; then the lease that it renewed last must lapse.
    pub fn surely_over(&self) -> Duration {
        self.session + self.stretch(self.lease) + self.stop
    }
}
