//! The runtime of a leased process.
//!
//! Owns nothing: the program keeps the runtime. Relies on tasks not to block its one thread; what blocks, such as the disk of a control
//! process, has a thread of its own.

use tokio::runtime::Runtime;

/// Starts the runtime of a leased process: one thread. The boxes have a fraction of one core, where each further thread costs
/// wake-ups, and state and traffic are both served in microseconds (docs/design/6-leased-runs.md, "Transport").
///
/// # Errors
///
/// Returns the system's error if it has no resources for an event queue.
pub fn start_leased_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
