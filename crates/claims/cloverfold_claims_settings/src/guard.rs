//! Settings of a guard of a claims installation, and of the target beside it.
//!
//! Owns their defaults and checks. Relies on `cloverfold_settings` for reading the file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_claims_core::GuardId;
use cloverfold_settings::{
    KeySettings, LogSettings, SettingsWithPaths, Validate, ValidationErrors, deserialize_millis,
};
use serde::Deserialize;

/// Default number of tasks that may wait at a guard. Chosen, not measured.
const QUEUE_LIMIT: usize = 512;
/// Default time that a planned stop may take. Chosen, not measured.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Default number of tasks that may run at a target at once. Chosen, not measured.
const SLOTS: usize = 8;
/// Default number of connections that may be open to a target. Chosen, not measured.
const CONNECTIONS: usize = 64;
/// Default time that a task may run before it counts as lost. Chosen, not measured.
const TASK_TIMEOUT: Duration = Duration::from_secs(30);

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
    /// How long a planned stop may take before the tasks that are left are abandoned; `drain_ms` in the file.
    #[serde(
        rename = "drain_ms",
        default = "default_drain_timeout",
        deserialize_with = "deserialize_millis"
    )]
    pub drain_timeout: Duration,
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
    /// How long a task may run before it counts as lost; `task_timeout_ms` in the file.
    #[serde(
        rename = "task_timeout_ms",
        default = "default_task_timeout",
        deserialize_with = "deserialize_millis"
    )]
    pub task_timeout: Duration,
}

fn default_queue_limit() -> usize {
    QUEUE_LIMIT
}

pub(crate) fn default_drain_timeout() -> Duration {
    DRAIN_TIMEOUT
}

fn default_slots() -> usize {
    SLOTS
}

fn default_connections() -> usize {
    CONNECTIONS
}

fn default_task_timeout() -> Duration {
    TASK_TIMEOUT
}

impl SettingsWithPaths for GuardSettings {
    fn resolve_paths(&mut self, folder: &Path) {
        self.cell = folder.join(&self.cell);
        self.keys.resolve(folder);
    }
}

impl Validate for GuardSettings {
    fn validate(&self, faults: &mut ValidationErrors) {
        let target = &self.target;
        faults.add_if(target.slots == 0, "target.slots", "must be at least 1");
        faults.add_if(
            target.connections < target.slots,
            "target.connections",
            "must be at least target.slots, since each running task holds a connection",
        );
        faults.add_if(
            target.task_timeout.is_zero(),
            "target.task_timeout_ms",
            "must be above 0",
        );
        faults.add_if(self.queue_limit == 0, "queue_limit", "must be at least 1");
    }
}
