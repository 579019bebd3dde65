//! How long requests wait at an entry that has not been ready since its start.
//!
//! An entry knows neither the queues nor a target in its first moments, so it cannot tell yet whether it can serve a request. It learns
//! both within tens of milliseconds where other processes have stayed up, and within some hundred after a loss of all power.
//!
//! Owns the mark of the first readiness ([`FirstReadiness`]). Relies on the state to set it.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, timeout};

/// How long a request waits at most for the entry to be ready for the first time; then it is answered by what is known. After a loss of
/// all power control processes were back 260 to 300 ms after entries (docs/DECIDING.md, round 1).
const STARTUP_WAIT: Duration = Duration::from_millis(300);

/// Whether the entry has been ready since its start; once set it stays so.
pub(crate) struct FirstReadiness(watch::Sender<bool>);

impl Default for FirstReadiness {
    fn default() -> Self {
        Self(watch::Sender::new(false))
    }
}

impl FirstReadiness {
    /// Records that the entry is ready, and lets the requests go on that wait.
    pub(crate) fn record(&self) {
        self.0.send_replace(true);
    }

    /// Returns what a request needs to wait.
    pub(crate) fn follow(&self) -> StartupWait {
        StartupWait(self.0.subscribe())
    }
}

/// The wait of one request.
pub(crate) struct StartupWait(watch::Receiver<bool>);

impl StartupWait {
    /// Waits until the entry has been ready, [`STARTUP_WAIT`] at most, and returns how long that took.
    pub(crate) async fn wait(mut self) -> Duration {
        if *self.0.borrow() {
            return Duration::ZERO;
        }
        let begun_at = Instant::now();
        // Harmless: whether it is ready or the wait is over, the request is answered by what is known then.
        let _ = timeout(STARTUP_WAIT, self.0.wait_for(|is_ready| *is_ready)).await;
        begun_at.elapsed()
    }
}
