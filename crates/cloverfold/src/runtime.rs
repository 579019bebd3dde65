//! The runtime of claims processes and of operators' commands.
//!
//! Leased processes have one of their own, with a single thread: `cloverfold_leased_process`.

use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// How many threads a runtime has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuntimeThreads {
    /// One for each core of the box.
    PerCore,
    /// A fixed number.
    Fixed(usize),
}

/// Starts a runtime.
///
/// # Errors
///
/// Returns the system's error.
pub fn start_runtime(threads: RuntimeThreads) -> Result<Runtime> {
    let mut builder = Builder::new_multi_thread();
    if let RuntimeThreads::Fixed(count) = threads {
        builder.worker_threads(count);
    }
    builder
        .enable_all()
        .build()
        .wrap_err("cannot start the runtime")
}
