//! Settings that every role has.

use std::path::{Path, PathBuf};

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::document::{Check, SettingsError, read_settings};

/// Where the process finds its key files; paths are relative to the settings file.
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

/// Settings of a process, which name other files.
pub trait ProcessSettings: DeserializeOwned + Check {
    /// Makes the paths relative to the working folder instead of the settings file's folder.
    fn resolve_paths(&mut self, folder: &Path);
}

/// Reads the settings of a process.
///
/// # Errors
///
/// As [`read_settings`].
pub fn read_process_settings<T: ProcessSettings>(file: &Path) -> Result<T, SettingsError> {
    let mut settings: T = read_settings(file)?;
    settings.resolve_paths(file.parent().unwrap_or(Path::new("")));
    Ok(settings)
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs a person.
    Error,
    /// Also what may.
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
    /// Least weight of what is logged.
    pub level: LogLevel,
    /// File that lines are appended to; `stream` where there is none.
    pub file: Option<PathBuf>,
    /// Where lines go without a file.
    pub stream: LogStream,
    /// Lines in one second above which further ones are dropped and counted; no bound without.
    pub lines_per_second: Option<u32>,
}

/// A stream of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogStream {
    /// Standard error.
    #[default]
    Stderr,
    /// Standard output.
    Stdout,
}
