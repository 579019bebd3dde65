//! The control thread, which owns a process's control state.
//!
//! Decisions run here one after the other, so that none needs a lock of its own; traffic runs on the
//! threads of the runtime and sends closures here. Owns the states that [`ControlThread::manage`] was given.
//! Relies on decisions not to block.

use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;

use tokio::sync::oneshot;

type Job = Box<dyn FnOnce() + Send>;

/// Handle of the control thread.
#[derive(Clone)]
pub struct ControlThread {
    tx: mpsc::Sender<Job>,
}

/// A state that only the control thread touches.
pub struct ThreadState<S> {
    control: ControlThread,
    /// Never contended: it only shows the compiler what the control thread guarantees.
    state: Arc<Mutex<S>>,
}

impl<S> Clone for ThreadState<S> {
    fn clone(&self) -> Self {
        Self {
            control: self.control.clone(),
            state: self.state.clone(),
        }
    }
}

/// Aborts the process when the control thread panics: its state can no longer be trusted.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            std::process::abort();
        }
    }
}

impl ControlThread {
    /// Starts the control thread; it ends with the last handle.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread cannot be started.
    pub fn start(process: &str) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::channel::<Job>();
        let builder = thread::Builder::new().name(format!("{process}-control"));
        builder.spawn(move || {
            let _guard = AbortOnPanic;
            for job in rx {
                job();
            }
        })?;
        Ok(Self { tx })
    }

    /// Puts a state under the control thread.
    pub fn manage<S: Send + 'static>(&self, state: S) -> ThreadState<S> {
        ThreadState {
            control: self.clone(),
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl<S: Send + 'static> ThreadState<S> {
    /// Runs a decision on the control thread and returns what it decided.
    ///
    /// # Panics
    ///
    /// Panics only after the control thread has panicked, which aborts the process anyway.
    pub async fn with<R, F>(&self, decide: F) -> R
    where
        R: Send + 'static,
        F: FnOnce(&mut S) -> R + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        self.post(move |state| {
            // The only error is that the caller was cancelled; the decision stands all the same.
            let _ = tx.send(decide(state));
        });
        rx.await.expect("the control thread outlives its handles")
    }

    /// Runs a decision on the control thread without waiting for it.
    pub fn post<F>(&self, decide: F)
    where
        F: FnOnce(&mut S) + Send + 'static,
    {
        let state = self.state.clone();
        let job = Box::new(move || {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            decide(&mut state);
        });
        // The only error is that the thread has ended; it ends with the last handle, and this is one.
        let _ = self.control.tx.send(job);
    }
}
