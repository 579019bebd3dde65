//! Settings of an entry of a claims installation.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_settings::{
    KeySettings, LogSettings, SettingsWithPaths, Validate, ValidationErrors, deserialize_millis,
};
use serde::Deserialize;

use crate::guard::default_drain_timeout;

/// Default longest body of a submission, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Default memory for the submissions of all callers, in MiB.
const DEFAULT_SUBMISSION_MEMORY_MB: usize = 64;
/// Default timeout of receiving a body.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Deadline of a submission without one, counted from its arrival.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);
/// Default longest deadline of a submission, counted from its arrival.
const DEFAULT_MAX_DEADLINE: Duration = Duration::from_secs(120);
/// Default limit of submissions in flight at an entry.
const DEFAULT_IN_FLIGHT: usize = 4_096;
/// Default time for which a draining entry keeps serving.
const DEFAULT_LINGER: Duration = Duration::from_secs(1);

/// Settings of one `cloverfold entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this process in its certificate, `entry-…`.
    pub name: String,
    /// The cell's file; relative to this file.
    pub cell: PathBuf,
    /// Local UDP address for requests to guards; the operating system chooses the port if it is 0.
    pub peer_address: SocketAddr,
    /// TCP address of the HTTP server.
    pub http_address: SocketAddr,
    /// The process's keys.
    pub keys: KeySettings,
    /// Longest body of a submission, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: usize,
    /// Maximum memory for the submissions of all callers that are received or in flight, in MiB.
    #[serde(default = "default_submission_memory_mb")]
    pub submission_memory_mb: usize,
    /// Timeout of receiving a body; `read_timeout_ms` in the file.
    #[serde(
        rename = "read_timeout_ms",
        default = "default_read_timeout",
        deserialize_with = "deserialize_millis"
    )]
    pub read_timeout: Duration,
    /// Deadline of a submission without one, counted from its arrival; `default_deadline_ms` in the file.
    #[serde(
        rename = "default_deadline_ms",
        default = "default_deadline",
        deserialize_with = "deserialize_millis"
    )]
    pub default_deadline: Duration,
    /// Longest deadline of a submission, counted from its arrival; `max_deadline_ms` in the file.
    #[serde(
        rename = "max_deadline_ms",
        default = "default_max_deadline",
        deserialize_with = "deserialize_millis"
    )]
    pub max_deadline: Duration,
    /// Limit of submissions in flight.
    #[serde(default = "default_in_flight")]
    pub in_flight: usize,
    /// Timeout of a drain, after which the remaining submissions are abandoned; `drain_ms` in the file.
    #[serde(
        rename = "drain_ms",
        default = "default_drain_timeout",
        deserialize_with = "deserialize_millis"
    )]
    pub drain_timeout: Duration,
    /// How long a draining entry keeps serving, so that the load balancer can notice; `linger_ms` in the file.
    #[serde(
        rename = "linger_ms",
        default = "default_linger",
        deserialize_with = "deserialize_millis"
    )]
    pub linger: Duration,
    /// Destination of log lines.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_max_body() -> usize {
    DEFAULT_MAX_BODY_BYTES
}

fn default_submission_memory_mb() -> usize {
    DEFAULT_SUBMISSION_MEMORY_MB
}

fn default_read_timeout() -> Duration {
    DEFAULT_READ_TIMEOUT
}

fn default_deadline() -> Duration {
    DEFAULT_DEADLINE
}

fn default_max_deadline() -> Duration {
    DEFAULT_MAX_DEADLINE
}

fn default_in_flight() -> usize {
    DEFAULT_IN_FLIGHT
}

fn default_linger() -> Duration {
    DEFAULT_LINGER
}

impl SettingsWithPaths for EntrySettings {
    fn resolve_paths(&mut self, folder: &Path) {
        self.cell = folder.join(&self.cell);
        self.keys.resolve(folder);
    }
}

impl EntrySettings {
    /// Returns the maximum memory for the submissions of all callers, in bytes.
    pub fn submission_memory(&self) -> usize {
        self.submission_memory_mb.saturating_mul(1024 * 1024)
    }
}

impl Validate for EntrySettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        errors.add_if(
            !self.name.starts_with("entry-"),
            "name",
            "must begin with `entry-`, as the certificate's name does",
        );
        errors.add_if(self.max_body == 0, "max_body", "must be above 0");
        errors.add_if(
            self.max_body > self.submission_memory() / 4,
            "submission_memory_mb",
            "must be at least four times max_body",
        );
        errors.add_if(self.in_flight == 0, "in_flight", "must be above 0");
        errors.add_if(
            self.read_timeout.is_zero(),
            "read_timeout_ms",
            "must be above 0",
        );
        errors.add_if(
            self.default_deadline.is_zero() || self.default_deadline > self.max_deadline,
            "default_deadline_ms",
            "must be above 0 and not over max_deadline_ms",
        );
    }
}
