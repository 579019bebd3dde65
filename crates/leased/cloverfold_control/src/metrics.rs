//! What a control process counts.

use std::sync::{Arc, Mutex, PoisonError};

use cloverfold_telemetry::{count_dropped_lines, write_metrics};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::state::ControlState;

/// Gauges that are read off the state when they are asked for.
pub(crate) struct ControlMetrics {
    registry: Registry,
    version: Gauge,
    term: Gauge,
    fresh: Gauge,
    dropped_lines: Gauge,
}

impl ControlMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("cloverfold_control");
        let mut add = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            version: add("configuration_version", "Version that holds here"),
            term: add("term", "Term of the group"),
            fresh: add("in_touch", "1 while in touch with a majority"),
            dropped_lines: add("dropped_log_lines", "Log lines dropped since the start"),
            registry,
        }
    }

    /// Writes the metrics as text.
    pub(crate) fn write(&self, state: &Arc<Mutex<ControlState>>) -> String {
        {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            self.version.set(state.held_version() as i64);
            self.term.set(state.term() as i64);
            self.fresh.set(i64::from(state.is_fresh()));
        }
        self.dropped_lines.set(count_dropped_lines() as i64);
        write_metrics(&self.registry)
    }
}
