//! What the processes of a leased installation share: their runtime and their signals.

use std::path::Path;

use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};

/// Starts the runtime of a leased process: one thread. The boxes have a fraction of one core, where each further thread costs
/// wake-ups, and control state and traffic are both served in microseconds.
///
/// # Errors
///
/// Returns the system's error.
pub fn start_leased_runtime() -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()
}

/// Waits for SIGTERM or SIGINT. A SIGHUP is logged: the settings of a leased process hold only addresses and bounds, which
/// hold for the life of the process.
///
/// # Errors
///
/// Says that the system takes no signal handler.
pub async fn wait_for_stop_signal(settings: &Path) -> std::io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = term.recv() => return Ok(()),
            _ = int.recv() => return Ok(()),
            _ = hup.recv() => {
                let file = settings.display().to_string();
                log::info!(file = file.as_str(); "settings are read again at the next start");
            }
        }
    }
}
