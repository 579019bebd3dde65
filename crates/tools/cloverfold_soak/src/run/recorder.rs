//! Records the history on one monotonic clock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::records::{
    Attempt, ConfigurationOrder, Disturbance, Elapsed, HallOrder, History, OrderAnswer, Outcome,
    PlannedStop, Process, Scope,
};

/// Records all observations except runs, which the targets record themselves.
pub(crate) struct Recorder {
    started: Instant,
    history: Mutex<History>,
}

impl Recorder {
    pub(crate) fn new(target_halls: Vec<String>) -> Self {
        let history = History {
            target_halls,
            ..History::default()
        };
        Self {
            started: Instant::now(),
            history: Mutex::new(history),
        }
    }

    pub(crate) fn now(&self) -> Elapsed {
        self.started.elapsed()
    }

    /// Converts an instant to the clock of the history.
    pub(crate) fn elapsed_at(&self, instant: Instant) -> Elapsed {
        instant.saturating_duration_since(self.started)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the start of an attempt; returns the index of the record.
    pub(crate) fn begin_attempt(&self, attempt: Attempt) -> usize {
        let mut history = self.lock();
        history.attempts.push(attempt);
        history.attempts.len() - 1
    }

    pub(crate) fn end_attempt(&self, index: usize, outcome: Outcome) {
        let now = self.now();
        self.lock().attempts[index].outcome = Some((now, outcome));
    }

    /// Records that an operator sends a configuration; returns the index of the record.
    pub(crate) fn begin_configuration(&self, version: u64, is_valid: bool) -> usize {
        let sent_at = self.now();
        let mut history = self.lock();
        history.configuration_orders.push(ConfigurationOrder {
            version,
            is_valid,
            sent_at,
            answer: None,
        });
        history.configuration_orders.len() - 1
    }

    pub(crate) fn end_configuration(&self, index: usize, answer: OrderAnswer) {
        let now = self.now();
        self.lock().configuration_orders[index].answer = Some((now, answer));
    }

    pub(crate) fn begin_hall_order(&self, order: HallOrder) -> usize {
        let mut history = self.lock();
        history.hall_orders.push(order);
        history.hall_orders.len() - 1
    }

    pub(crate) fn acknowledge_hall_order(&self, index: usize) {
        let now = self.now();
        self.lock().hall_orders[index].acknowledged_at = Some(now);
    }

    /// Records the start of a disturbance; returns the index of the record.
    pub(crate) fn begin_disturbance(&self, scope: Scope, is_planned: bool) -> usize {
        let from = self.now();
        let mut history = self.lock();
        history.disturbances.push(Disturbance {
            scope,
            is_planned,
            from,
            until: None,
        });
        history.disturbances.len() - 1
    }

    pub(crate) fn end_disturbance(&self, index: usize) {
        let now = self.now();
        self.lock().disturbances[index].until = Some(now);
    }

    pub(crate) fn begin_stop(&self, process: Process) -> usize {
        let requested_at = self.now();
        let mut history = self.lock();
        history.stops.push(PlannedStop {
            process,
            requested_at,
            exited_at: None,
        });
        history.stops.len() - 1
    }

    pub(crate) fn end_stop(&self, index: usize) {
        let now = self.now();
        self.lock().stops[index].exited_at = Some(now);
    }
}
