//! The signals of a process, and settings that change while it runs.
//!
//! Owns the signal handlers and what is known of the settings file. Relies on `cloverfold_settings` to read the settings and on the
//! caller to apply them.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use cloverfold_settings::{Validate, read_settings};
use serde::de::DeserializeOwned;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

/// How often the settings file is checked: it may change without a signal.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// When a file was last modified, and its length in bytes: tells one content from another without reading the file.
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
    /// Starts to watch.
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

    /// Waits for SIGTERM or SIGINT. On SIGHUP and when the file has changed, reads the file again and passes valid settings to
    /// `apply`; invalid ones are logged with file, line and field, and change nothing.
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
                log::info!(file = file.as_str(); "settings are read anew");
                apply(settings);
            }
            Err(fault) => log::error!("changed settings are not taken: {fault}"),
        }
    }
}

/// Returns the stamp of a file; `None` if the file is missing or can't be looked at, which reading it then reports.
fn read_stamp(file: &Path) -> Option<FileStamp> {
    let metadata = std::fs::metadata(file).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
