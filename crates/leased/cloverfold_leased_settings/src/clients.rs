//! Limits of what a process holds for all its clients together.

use cloverfold_connections::{BudgetLimits, DescriptorPlan};
use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// Default of [`ClientSettings::max_connections`].
const DEFAULT_MAX_CONNECTIONS: usize = 2_048;
/// Minimum of [`ClientSettings::max_connections`].
const MIN_CONNECTIONS: usize = 16;
/// Minimum of [`ClientSettings::memory_mb`].
const MIN_MEMORY_MB: usize = 8;
/// Maximum of [`ClientSettings::memory_mb`].
const MAX_MEMORY_MB: usize = 16 * 1024;
const BYTES_PER_MB: usize = 1024 * 1024;

/// Limits of what a process holds for the clients of its main listener: callers, operators or targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Maximum number of connections; 2,048 if absent. Half of the descriptors of the process are a further limit.
    pub max_connections: Option<usize>,
    /// Maximum memory for requests, open jobs and unread responses of all clients, in MiB; the default depends on the process.
    pub memory_mb: Option<usize>,
}

impl ClientSettings {
    /// Returns the limits; `default_memory_mb` is the memory that this kind of process reserves for its clients.
    pub fn limits(&self, default_memory_mb: usize) -> BudgetLimits {
        let connections = self.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS);
        BudgetLimits {
            connections: connections.min(DescriptorPlan::of_process().clients),
            bytes: self.memory_mb.unwrap_or(default_memory_mb) * BYTES_PER_MB,
        }
    }

    pub(crate) fn validate(&self, errors: &mut ValidationErrors) {
        errors.add_if(
            self.max_connections
                .is_some_and(|connections| connections < MIN_CONNECTIONS),
            "clients.max_connections",
            "must be at least 16",
        );
        errors.add_if(
            self.memory_mb
                .is_some_and(|memory| !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&memory)),
            "clients.memory_mb",
            "must be from 8 to 16384",
        );
    }
}
