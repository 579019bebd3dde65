//! Settings of an entry.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_settings::{
    Check, FaultList, KeySettings, LogSettings, ProcessSettings, SettingsError,
    read_process_settings,
};
use serde::Deserialize;

use crate::guard::default_drain_ms;

/// Settings of one `cloverfold entry`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of this process, `entry-…`, as in its certificate.
    pub name: String,
    /// The cell's file; relative to this file.
    pub cell: PathBuf,
    /// UDP address to reach guards from; port 0 lets the system choose.
    pub peer_address: SocketAddr,
    /// TCP address to serve callers on.
    pub http_address: SocketAddr,
    /// The process's keys.
    pub keys: KeySettings,
    /// Longest body of a submission, in bytes.
    #[serde(default = "default_max_body")]
    pub max_body: usize,
    /// How long a caller may take to send its request, in milliseconds.
    #[serde(default = "default_read_timeout_ms")]
    pub read_timeout_ms: u64,
    /// Deadline of a submission that names none, in milliseconds from its arrival.
    #[serde(default = "default_deadline_ms")]
    pub default_deadline_ms: u64,
    /// Longest deadline that a submission may name, in milliseconds from its arrival.
    #[serde(default = "default_max_deadline_ms")]
    pub max_deadline_ms: u64,
    /// Submissions that may wait for their answer here.
    #[serde(default = "default_in_flight")]
    pub in_flight: usize,
    /// How long a planned stop may take before what is left is given up, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// How long a stopping entry goes on serving, so that the balancer can notice, in milliseconds.
    #[serde(default = "default_linger_ms")]
    pub linger_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

fn default_max_body() -> usize {
    4 * 1024 * 1024
}

fn default_read_timeout_ms() -> u64 {
    5_000
}

fn default_deadline_ms() -> u64 {
    30_000
}

fn default_max_deadline_ms() -> u64 {
    120_000
}

fn default_in_flight() -> usize {
    4_096
}

fn default_linger_ms() -> u64 {
    1_000
}

impl EntrySettings {
    /// Reads the file and makes its paths relative to the working folder.
    ///
    /// # Errors
    ///
    /// As [`cloverfold_settings::read_settings`].
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        read_process_settings(file)
    }

    /// Returns how long a planned stop may take.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Returns how long a stopping entry goes on serving.
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }

    /// Returns how long a caller may take to send its request.
    pub fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.read_timeout_ms)
    }
}

impl ProcessSettings for EntrySettings {
    fn resolve_paths(&mut self, folder: &Path) {
        self.cell = folder.join(&self.cell);
        self.keys.resolve(folder);
    }
}

impl Check for EntrySettings {
    fn check(&self, faults: &mut FaultList) {
        faults.add_if(
            !self.name.starts_with("entry-"),
            "name",
            "must begin with `entry-`, as the certificate's name does",
        );
        faults.add_if(self.max_body == 0, "max_body", "must be above 0");
        faults.add_if(self.in_flight == 0, "in_flight", "must be above 0");
        faults.add_if(
            self.read_timeout_ms == 0,
            "read_timeout_ms",
            "must be above 0",
        );
        faults.add_if(
            self.default_deadline_ms == 0 || self.default_deadline_ms > self.max_deadline_ms,
            "default_deadline_ms",
            "must be above 0 and not over max_deadline_ms",
        );
    }
}
