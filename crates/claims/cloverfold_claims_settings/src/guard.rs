//! Settings of a guard of a claims installation and of its target.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_claims_core::GuardId;
use cloverfold_settings::{
    KeySettings, LogSettings, SettingsWithPaths, Validate, ValidationErrors, deserialize_millis,
};
use serde::Deserialize;

/// Default limit of queued tasks at a guard.
const DEFAULT_QUEUE_LIMIT: usize = 512;
/// Default timeout of a drain.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Default number of tasks that may run at a target concurrently.
const DEFAULT_SLOTS: usize = 8;
/// Default limit of connections to a target.
const DEFAULT_CONNECTIONS: usize = 64;
/// Default timeout of a task, after which it counts as lost.
const DEFAULT_TASK_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of one `cloverfold-guard`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuardSettings {
    /// Number of this guard in the cell's file.
    pub id: GuardId,
    /// The cell's file; relative to this file.
    pub cell: PathBuf,
    /// UDP address to listen on for other processes.
    pub peer_address: SocketAddr,
    /// TCP address of the HTTP server for health, readiness and metrics.
    pub http_address: SocketAddr,
    /// The process's keys.
    pub keys: KeySettings,
    /// The target of this guard.
    pub target: TargetSettings,
    /// Limit of queued tasks.
    #[serde(default = "default_queue_limit")]
    pub queue_limit: usize,
    /// Timeout of a drain, after which the remaining tasks are abandoned; `drain_ms` in the file.
    #[serde(
        rename = "drain_ms",
        default = "default_drain_timeout",
        deserialize_with = "deserialize_millis"
    )]
    pub drain_timeout: Duration,
    /// Destination of log lines.
    #[serde(default)]
    pub log: LogSettings,
}

/// The target at which a guard starts tasks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// TCP address of the target's HTTP server.
    pub address: SocketAddr,
    /// Tasks that may run concurrently.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Limit of connections to the target.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Whether the target can cancel a running task.
    #[serde(default)]
    pub can_cancel: bool,
    /// Timeout of a task, after which it counts as lost; `task_timeout_ms` in the file.
    #[serde(
        rename = "task_timeout_ms",
        default = "default_task_timeout",
        deserialize_with = "deserialize_millis"
    )]
    pub task_timeout: Duration,
}

fn default_queue_limit() -> usize {
    DEFAULT_QUEUE_LIMIT
}

pub(crate) fn default_drain_timeout() -> Duration {
    DEFAULT_DRAIN_TIMEOUT
}

fn default_slots() -> usize {
    DEFAULT_SLOTS
}

fn default_connections() -> usize {
    DEFAULT_CONNECTIONS
}

fn default_task_timeout() -> Duration {
    DEFAULT_TASK_TIMEOUT
}

impl SettingsWithPaths for GuardSettings {
    fn resolve_paths(&mut self, folder: &Path) {
        self.cell = folder.join(&self.cell);
        self.keys.resolve(folder);
    }
}

impl Validate for GuardSettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        let target = &self.target;
        errors.add_if(target.slots == 0, "target.slots", "must be at least 1");
        errors.add_if(
            target.connections < target.slots,
            "target.connections",
            "must be at least target.slots, since each running task holds a connection",
        );
        errors.add_if(
            target.task_timeout.is_zero(),
            "target.task_timeout_ms",
            "must be above 0",
        );
        errors.add_if(self.queue_limit == 0, "queue_limit", "must be at least 1");
    }
}
