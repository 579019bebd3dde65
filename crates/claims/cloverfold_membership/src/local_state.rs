//! What a guard reports of itself.
//!
//! [`LocalState`] is written by the packages that run tasks and hold claims, and read for each report.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_claims_core::{GuardPhase, GuardReport, Placement};

/// State of this guard, kept up to date by the packages that run tasks and hold claims.
#[derive(Debug, Default)]
pub struct LocalState {
    is_whole: AtomicBool,
    running: AtomicU32,
    queued: AtomicU32,
}

impl LocalState {
    /// Records whether this guard's memory of claims is whole.
    pub fn set_whole(&self, is_whole: bool) {
        self.is_whole.store(is_whole, Ordering::Relaxed);
    }

    /// Returns whether this guard's memory of claims is whole.
    pub fn is_whole(&self) -> bool {
        self.is_whole.load(Ordering::Relaxed)
    }

    /// Records the present load, in tasks.
    pub fn set_load(&self, running: usize, queued: usize) {
        self.running.store(running as u32, Ordering::Relaxed);
        self.queued.store(queued as u32, Ordering::Relaxed);
    }
}

/// The guard that this process is, as its reports describe it.
#[derive(Debug)]
pub(crate) struct LocalGuard {
    pub(crate) placement: Placement,
    pub(crate) slots: u32,
    pub(crate) load: Arc<LocalState>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) sequence: AtomicU64,
}

impl LocalGuard {
    /// Makes a fresh report.
    pub(crate) fn report(&self) -> GuardReport {
        let phase = match self.lifecycle.phase() {
            Phase::Serving => GuardPhase::Live,
            Phase::Draining | Phase::Stopped => GuardPhase::Leaving,
        };
        GuardReport {
            placement: self.placement,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            phase,
            is_whole: self.load.is_whole(),
            running: self.load.running.load(Ordering::Relaxed),
            queued: self.load.queued.load(Ordering::Relaxed),
            slots: self.slots,
            age: Duration::ZERO,
        }
    }
}
