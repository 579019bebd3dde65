//! The state that a guard reports to the other processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_claims_core::{GuardPhase, GuardReport, Placement};

/// State of this guard, which the crates that run tasks and replicate claims update.
#[derive(Debug, Default)]
pub struct LocalState {
    is_whole: AtomicBool,
    running: AtomicU32,
    queued: AtomicU32,
}

impl LocalState {
    /// Sets whether this guard's claim records are complete.
    pub fn set_whole(&self, is_whole: bool) {
        self.is_whole.store(is_whole, Ordering::Relaxed);
    }

    /// Returns whether this guard's claim records are complete.
    pub fn is_whole(&self) -> bool {
        self.is_whole.load(Ordering::Relaxed)
    }

    /// Sets the current load, in tasks.
    pub fn set_load(&self, running: usize, queued: usize) {
        self.running.store(running as u32, Ordering::Relaxed);
        self.queued.store(queued as u32, Ordering::Relaxed);
    }
}

/// Source of this guard's reports.
#[derive(Debug)]
pub(crate) struct LocalGuard {
    pub(crate) placement: Placement,
    pub(crate) slots: u32,
    pub(crate) local_state: Arc<LocalState>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) sequence: AtomicU64,
}

impl LocalGuard {
    pub(crate) fn report(&self) -> GuardReport {
        let phase = match self.lifecycle.phase() {
            Phase::Serving => GuardPhase::Live,
            Phase::Draining | Phase::Stopped => GuardPhase::Leaving,
        };
        GuardReport {
            placement: self.placement,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            phase,
            is_whole: self.local_state.is_whole(),
            running: self.local_state.running.load(Ordering::Relaxed),
            queued: self.local_state.queued.load(Ordering::Relaxed),
            slots: self.slots,
            age: Duration::ZERO,
        }
    }
}
