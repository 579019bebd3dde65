//! Settings that several processes share: keys, logs, paths and durations.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};

use crate::parse::{SettingsError, Validate, read_settings};

/// Key files of a process; paths are relative to the settings file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Certificate of the certificate authority of the installation.
    pub authority: PathBuf,
    /// Certificate of the process.
    pub certificate: PathBuf,
    /// Private key of the process.
    pub private_key: PathBuf,
}

impl KeySettings {
    /// Resolves the paths against `folder`.
    pub fn resolve(&mut self, folder: &Path) {
        self.authority = folder.join(&self.authority);
        self.certificate = folder.join(&self.certificate);
        self.private_key = folder.join(&self.private_key);
    }
}

/// Settings that contain paths relative to the settings file.
pub trait SettingsWithPaths: DeserializeOwned + Validate {
    /// Resolves the paths against `folder`, the folder of the settings file.
    fn resolve_paths(&mut self, folder: &Path);

    /// Reads and validates a settings file, and resolves its paths.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`read_settings`].
    fn read(file: &Path) -> Result<Self, SettingsError> {
        let mut settings: Self = read_settings(file)?;
        settings.resolve_paths(file.parent().unwrap_or(Path::new("")));
        Ok(settings)
    }
}

/// Deserializes a duration from whole milliseconds; for `#[serde(deserialize_with)]`.
///
/// # Errors
///
/// Returns the deserializer's error unless the value is a non-negative integer.
pub fn deserialize_millis<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    u64::deserialize(deserializer).map(Duration::from_millis)
}

/// Minimum severity of logged lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only errors, which require human intervention.
    Error,
    /// Also warnings, which may require intervention.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each step of each job.
    Debug,
}

/// Destination of log lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Minimum severity of logged lines.
    pub level: LogLevel,
    /// File to which lines are appended; without it they go to `stream`.
    pub file: Option<PathBuf>,
    /// Stream for lines if there is no file.
    pub stream: LogStream,
    /// Rate limit for lines to the stream, per second; further lines are dropped and counted. Unlimited by default.
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
