//! The signals of a process, and settings that change while it runs.

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use cloverfold_settings::SettingsError;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

/// How often the settings file is looked at: it may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Follows a settings file and the signals of the process.
pub struct SettingsWatch {
    file: PathBuf,
    seen: Option<(SystemTime, u64)>,
    term: Signal,
    int: Signal,
    hup: Signal,
    looks: Interval,
}

impl SettingsWatch {
    /// Begins to follow.
    ///
    /// # Errors
    ///
    /// Says that the system takes no signal handler.
    pub fn start(file: &Path) -> std::io::Result<Self> {
        let mut looks = interval(LOOK_INTERVAL);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Self {
            file: file.into(),
            seen: stamp(file),
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
            looks,
        })
    }

    /// Waits for SIGTERM or SIGINT. On SIGHUP and when the file has changed, reads it anew and hands sound settings to
    /// `take`; unsound ones are logged with file, line and field, and change nothing.
    pub async fn run_until_stop<T>(
        mut self,
        read: impl Fn(&Path) -> Result<T, SettingsError>,
        take: impl Fn(T),
    ) {
        loop {
            tokio::select! {
                _ = self.term.recv() => return,
                _ = self.int.recv() => return,
                _ = self.hup.recv() => {}
                _ = self.looks.tick() => {
                    let found = stamp(&self.file);
                    if found == self.seen {
                        continue;
                    }
                }
            }
            self.seen = stamp(&self.file);
            match read(&self.file) {
                Ok(settings) => {
                    let file = self.file.display().to_string();
                    log::info!(file = file.as_str(); "settings are read anew");
                    take(settings);
                }
                Err(fault) => log::error!("changed settings are not taken: {fault}"),
            }
        }
    }
}

/// Tells one content of a file from another without reading it.
fn stamp(file: &Path) -> Option<(SystemTime, u64)> {
    let found = std::fs::metadata(file).ok()?;
    Some((found.modified().ok()?, found.len()))
}
