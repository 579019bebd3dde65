//! The life cycle of a process: serving, draining, stopped.
//!
//! Owns the present phase; clones share it. Relies on `running` to advance it.

use tokio::sync::watch;

/// Phase of a process; it only advances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It accepts work.
    Serving,
    /// It accepts no new work and finishes what it has.
    Draining,
    /// It has stopped.
    Stopped,
}

/// The present phase, which every capability can follow.
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
    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        *self.tx.borrow()
    }

    /// Moves to a later phase; an earlier one changes nothing.
    pub fn advance_to(&self, phase: Phase) {
        self.tx.send_if_modified(|held| {
            let is_later = phase > *held;
            *held = (*held).max(phase);
            is_later
        });
    }

    /// Waits until the process is at least in the given phase.
    pub async fn wait_for(&self, phase: Phase) {
        let mut rx = self.tx.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = rx.wait_for(|held| *held >= phase).await;
    }
}
