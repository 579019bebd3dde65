//! What a control process counts.
//!
//! Owns the gauges; their values are read off the state when they are asked for.

use cloverfold_leased_process::{MetricsBuilder, ProcessMetrics};
use prometheus_client::metrics::gauge::Gauge;

use crate::state::ControlState;

/// The metrics of a control process.
pub(crate) struct ControlMetrics {
    process: ProcessMetrics,
    version: Gauge,
    term: Gauge,
    has_quorum: Gauge,
}

impl ControlMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = MetricsBuilder::new("cloverfold_control");
        Self {
            version: metrics.add_gauge("configuration_version", "Version that holds here"),
            term: metrics.add_gauge("term", "Term of the group"),
            has_quorum: metrics.add_gauge("in_touch", "1 while in touch with a majority"),
            process: metrics.finish(),
        }
    }

    /// Writes all metrics as text.
    pub(crate) fn write(&self, state: &ControlState) -> String {
        self.version.set(state.current_version() as i64);
        self.term.set(state.term() as i64);
        self.has_quorum.set(i64::from(state.has_quorum()));
        self.process.write(state.sent())
    }
}
