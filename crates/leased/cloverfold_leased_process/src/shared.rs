//! State that the tasks of one process share.
//!
//! [`Shared`] owns the state of a process behind one lock, so that each event sees what the one before has left. Relies on its users to hold
//! the lock briefly.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The state of a process, shared by its tasks. A copy refers to the same state.
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
    /// Shares a state.
    pub fn new(state: S) -> Self {
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Locks the state; never hold the guard over an `await`. A lock whose holder panicked is taken all the same: the process serves
    /// many jobs, and one that panics must not end the others.
    pub fn lock(&self) -> MutexGuard<'_, S> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
