//! The control thread, which serializes access to the control state of a process.
//!
//! The threads of the runtime handle traffic and send closures to the control thread. The closures must not block.

use std::sync::{Arc, Mutex, PoisonError, mpsc};
use std::thread;

use tokio::sync::oneshot;

type Closure = Box<dyn FnOnce() + Send>;

/// Handle to the control thread.
#[derive(Clone)]
pub struct ControlThread {
    tx: mpsc::Sender<Closure>,
}

/// State that only the control thread accesses.
pub struct ThreadState<S> {
    control: ControlThread,
    /// Never contended; the mutex only makes the exclusive access of the control thread visible to the compiler.
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

/// Aborts the process when the control thread panics, because its state may be inconsistent.
struct AbortOnPanic;

impl Drop for AbortOnPanic {
    fn drop(&mut self) {
        if thread::panicking() {
            std::process::abort();
        }
    }
}

impl ControlThread {
    /// Starts the control thread, which ends when the last handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(process: &str) -> std::io::Result<Self> {
        let (tx, rx) = mpsc::channel::<Closure>();
        let builder = thread::Builder::new().name(format!("{process}-control"));
        builder.spawn(move || {
            let _guard = AbortOnPanic;
            for closure in rx {
                closure();
            }
        })?;
        Ok(Self { tx })
    }

    /// Moves a state to the control thread.
    pub fn manage<S: Send + 'static>(&self, state: S) -> ThreadState<S> {
        ThreadState {
            control: self.clone(),
            state: Arc::new(Mutex::new(state)),
        }
    }
}

impl<S: Send + 'static> ThreadState<S> {
    /// Runs a closure on the control thread and returns its result.
    ///
    /// # Panics
    ///
    /// Panics only after a panic of the control thread, which aborts the process anyway.
    pub async fn with<R, F>(&self, f: F) -> R
    where
        R: Send + 'static,
        F: FnOnce(&mut S) -> R + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        self.post(move |state| {
            // The only error is that the caller was cancelled; the closure has run nevertheless.
            let _ = tx.send(f(state));
        });
        rx.await.expect("the control thread outlives its handles")
    }

    /// Runs a closure on the control thread without waiting for it.
    pub fn post<F>(&self, f: F)
    where
        F: FnOnce(&mut S) + Send + 'static,
    {
        let state = self.state.clone();
        let closure = Box::new(move || {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            f(&mut state);
        });
        // This cannot fail, because the thread ends only with the last handle and `self` has one.
        let _ = self.control.tx.send(closure);
    }
}
