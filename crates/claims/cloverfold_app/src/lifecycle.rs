//! The lifecycle of a process: serving, draining, stopped.

use tokio::sync::watch;

/// Lifecycle phase of a process, which only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Accepts work.
    Serving,
    /// Accepts no new work and finishes its work in flight.
    Draining,
    /// Has stopped.
    Stopped,
}

/// Shared handle to the current phase.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    tx: watch::Sender<Phase>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            tx: watch::Sender::new(Phase::Serving),
        }
    }
}

impl Lifecycle {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.tx.borrow()
    }

    /// Advances to a phase; an earlier phase has no effect.
    pub fn advance_to(&self, phase: Phase) {
        self.tx.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = (*current).max(phase);
            is_later
        });
    }

    /// Waits until the process has reached a phase.
    pub async fn wait_for(&self, phase: Phase) {
        let mut rx = self.tx.subscribe();
        // `self` keeps the sender alive, so this cannot fail.
        let _ = rx.wait_for(|current| *current >= phase).await;
    }
}
