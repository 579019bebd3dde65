//! Signals of a process, and reload of its settings file.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use cloverfold_settings::{Validate, read_settings};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

/// Interval between checks of the settings file, which may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Modification time and length in bytes of a file, to detect a change without reading the file.
type FileStamp = (SystemTime, u64);

/// Watches a settings file and the signals of the process.
pub struct SettingsWatch {
    file: PathBuf,
    last_stamp: Option<FileStamp>,
    term: Signal,
    int: Signal,
    hup: Signal,
    checks: Interval,
}

impl SettingsWatch {
    /// Installs the signal handlers and starts to watch the file.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a signal handler cannot be installed.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn start(file: &Path) -> std::io::Result<Self> {
        let mut checks = interval(CHECK_INTERVAL);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            file: file.into(),
            last_stamp: read_stamp(file),
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
            checks,
        })
    }

    /// Runs until SIGTERM or SIGINT. On SIGHUP, or when the file has changed, reads the file again and passes valid settings to `apply`.
    /// Logs invalid settings with file, line and field, and ignores them.
    pub async fn run_until_stop<T: DeserializeOwned + Validate>(mut self, apply: impl Fn(T)) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.int.recv() => return,
                _ = self.hup.recv() => {}
                _ = self.checks.tick() => {
                    if read_stamp(&self.file) == self.last_stamp {
                        continue;
                    }
                }
            }
            self.last_stamp = read_stamp(&self.file);
            self.reload(&apply);
        }
    }

    fn reload<T: DeserializeOwned + Validate>(&self, apply: impl Fn(T)) {
        match read_settings(&self.file) {
            Ok(settings) => {
                let file = self.file.display().to_string();
                log::info!(file = file.as_str(); "settings reloaded");
                apply(settings);
            }
            Err(error) => log::error!("changed settings rejected: {error}"),
        }
    }
}

/// Returns the stamp of a file; `None` if the file is missing or inaccessible, which the subsequent read reports.
fn read_stamp(file: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(file).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
