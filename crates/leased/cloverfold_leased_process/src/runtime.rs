//! The async runtime of a leased process.
//!
//! Tasks must not block its single thread; blocking work, such as the disk I/O of a control process, runs on a separate thread.

use tokio::runtime::Runtime;

/// Starts a single-threaded runtime. A process has only a fraction of a core, where more threads cause more wake-ups, and handling an
/// event takes microseconds.
///
/// # Errors
///
/// Returns the system's error if it cannot create an event queue.
pub fn start_leased_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
