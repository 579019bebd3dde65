//! State shared by the tasks of a process, behind a single lock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The state of a process, shared by its tasks. A clone refers to the same state.
#[derive(Debug)]
pub struct Shared<S> {
    state: Arc<Mutex<S>>,
}

impl<S> Clone for Shared<S> {
    fn clone(&self) -> Self {
        Self {
            state: Arc::clone(&self.state),
        }
    }
}

impl<S> Shared<S> {
    /// Wraps a state.
    pub fn new(state: S) -> Self {
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Locks the state; hold the guard briefly and never across an `await`. Ignores poisoning, because a panic while handling one job must
    /// not stop the others.
    pub fn lock(&self) -> MutexGuard<'_, S> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
