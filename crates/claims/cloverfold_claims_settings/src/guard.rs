//! Settings of a guard.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_claims_core::GuardId;
use cloverfold_settings::{
    Check, FaultList, KeySettings, LogSettings, ProcessSettings, SettingsError,
    read_process_settings,
};
use serde::Deserialize;

/// Settings of one `cloverfold-guard`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuardSettings {
    /// Number of this guard, as in the cell's file.
    pub id: GuardId,
    /// The cell's file; relative to this file.
    pub cell: PathBuf,
    /// UDP address to listen on for other processes.
    pub peer_address: SocketAddr,
    /// TCP address to serve health, readiness and metrics on.
    pub http_address: SocketAddr,
    /// The process's keys.
    pub keys: KeySettings,
    /// The target beside this guard.
    pub target: TargetSettings,
    /// Tasks that may wait here.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// How long a planned stop may take before what is left is given up, in milliseconds.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
    /// Where log lines go.
    #[serde(default)]
    pub log: LogSettings,
}

/// The target that a guard starts tasks at.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// TCP address of the target's HTTP interface.
    pub address: SocketAddr,
    /// Tasks that may run at once.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Connections that may be open to the target.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Whether the target can cancel a running task.
    #[serde(default)]
    pub can_cancel: bool,
    /// How long a task may run before it counts as lost, in milliseconds.
    #[serde(default = "default_task_timeout_ms")]
    pub task_timeout_ms: u64,
}

fn default_queue_limit() -> usize {
    512
}

pub(crate) fn default_drain_ms() -> u64 {
    30_000
}

fn default_slots() -> usize {
    8
}

fn default_connections() -> usize {
    64
}

fn default_task_timeout_ms() -> u64 {
    30_000
}

impl GuardSettings {
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
}

impl TargetSettings {
    /// Returns how long a task may run.
    pub fn task_timeout(&self) -> Duration {
        Duration::from_millis(self.task_timeout_ms)
    }
}

impl ProcessSettings for GuardSettings {
    fn resolve_paths(&mut self, folder: &Path) {
        self.cell = folder.join(&self.cell);
        self.keys.resolve(folder);
    }
}

impl Check for GuardSettings {
    fn check(&self, faults: &mut FaultList) {
        let target = &self.target;
        faults.add_if(target.slots == 0, "target.slots", "must be at least 1");
        faults.add_if(
            target.connections < target.slots,
            "target.connections",
            "must be at least target.slots, since each running task holds a connection",
        );
        faults.add_if(
            target.task_timeout_ms == 0,
            "target.task_timeout_ms",
            "must be above 0",
        );
        faults.add_if(self.queue_limit == 0, "queue_limit", "must be at least 1");
    }
}
