//! Takes records on one steady clock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use crate::records::{
    Attempt, ConfigurationOrder, Disturbance, Elapsed, HallOrder, History, OrderAnswer, Outcome,
    PlannedStop, Process, Scope,
};

/// Where everything that is seen is recorded, but for runs, which targets keep themselves.
pub(crate) struct Recorder {
    began: Instant,
    history: Mutex<History>,
}

impl Recorder {
    pub(crate) fn new(target_halls: Vec<String>) -> Self {
        let history = History {
            target_halls,
            ..History::default()
        };
        Self {
            began: Instant::now(),
            history: Mutex::new(history),
        }
    }

    pub(crate) fn now(&self) -> Elapsed {
        self.began.elapsed()
    }

    /// Returns a moment on the clock of the records.
    pub(crate) fn time_of(&self, moment: Instant) -> Elapsed {
        moment.saturating_duration_since(self.began)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a caller sends; returns the number of the record.
    pub(crate) fn begin_attempt(&self, attempt: Attempt) -> usize {
        let mut history = self.lock();
        history.attempts.push(attempt);
        history.attempts.len() - 1
    }

    pub(crate) fn end_attempt(&self, number: usize, outcome: Outcome) {
        let now = self.now();
        self.lock().attempts[number].outcome = Some((now, outcome));
    }

    /// Records that an operator sends a configuration; returns the number of the record.
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

    pub(crate) fn end_configuration(&self, number: usize, answer: OrderAnswer) {
        let now = self.now();
        self.lock().configuration_orders[number].answer = Some((now, answer));
    }

    pub(crate) fn begin_hall_order(&self, order: HallOrder) -> usize {
        let mut history = self.lock();
        history.hall_orders.push(order);
        history.hall_orders.len() - 1
    }

    pub(crate) fn acknowledge_hall_order(&self, number: usize) {
        let now = self.now();
        self.lock().hall_orders[number].acknowledged_at = Some(now);
    }

    /// Records that something is disturbed from now on; returns the number of the record.
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

    pub(crate) fn end_disturbance(&self, number: usize) {
        let now = self.now();
        self.lock().disturbances[number].until = Some(now);
    }

    pub(crate) fn begin_stop(&self, process: Process) -> usize {
        let asked_at = self.now();
        let mut history = self.lock();
        history.stops.push(PlannedStop {
            process,
            asked_at,
            exited_at: None,
        });
        history.stops.len() - 1
    }

    pub(crate) fn end_stop(&self, number: usize) {
        let now = self.now();
        self.lock().stops[number].exited_at = Some(now);
    }
}
