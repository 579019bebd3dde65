//! The Tokio runtime of claims processes and operator commands.
//!
//! Leased processes use the single-threaded runtime of `cloverfold_leased_process`.

use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Number of worker threads of a runtime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuntimeThreads {
    /// One thread for each core of the box.
    PerCore,
    /// A fixed number.
    Fixed(usize),
}

/// Builds a multi-threaded runtime.
///
/// # Errors
///
/// Returns the system's error if the runtime cannot be built.
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
