//! What the settings of several processes share: keys, logs, paths and times.
//!
//! Owns no state. Relies on `document` for reading and checking a file.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};

use crate::document::{SettingsError, Validate, read_settings};

/// The key files of a process; paths are relative to the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Certificate of the installation's authority.
    pub authority: PathBuf,
    /// The process's certificate.
    pub certificate: PathBuf,
    /// The process's private key.
    pub private_key: PathBuf,
}

impl KeySettings {
    /// Makes the paths absolute or relative to the working folder.
    pub fn resolve(&mut self, folder: &Path) {
        self.authority = folder.join(&self.authority);
        self.certificate = folder.join(&self.certificate);
        self.private_key = folder.join(&self.private_key);
    }
}

/// Settings that name other files by paths relative to their own file.
pub trait SettingsWithPaths: DeserializeOwned + Validate {
    /// Makes the paths absolute or relative to the working folder; `folder` is that of the settings file.
    fn resolve_paths(&mut self, folder: &Path);

    /// Reads and checks a settings file and resolves its paths.
    ///
    /// # Errors
    ///
    /// As [`read_settings`].
    fn read(file: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = read_settings(file)?;
        settings.resolve_paths(file.parent().unwrap_or(Path::new("")));
        Ok(settings)
    }
}

/// Reads a duration that a file gives in whole milliseconds; for `#[serde(deserialize_with)]`.
///
/// # Errors
///
/// Returns the deserializer's error unless the value is a whole number that is not negative.
pub fn deserialize_millis<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only errors, which need a person.
    Error,
    /// Also warnings, which may need one.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each step of each job.
    Debug,
}

/// Where log lines go.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severity that is logged.
    pub level: LogLevel,
    /// File that lines are appended to; without one they go to `stream`.
    pub file: Option<PathBuf>,
    /// Stream that lines go to without a file.
    pub stream: LogStream,
    /// Most lines in one second; further ones are dropped and counted. Without it there is no limit.
    pub lines_per_second: Option<u32>,
}

/// A standard stream of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}
