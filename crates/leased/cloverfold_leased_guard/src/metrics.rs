//! The metrics of a guard.
//!
//! Owns nothing but the gauges: the numbers are read off [`GuardState`] when they are asked for. Relies on [`ProcessMetrics`] for what every
//! leased process counts.

use cloverfold_leased_process::{MetricsBuilder, ProcessMetrics};
use cloverfold_telemetry::CauseGauges;
use prometheus_client::metrics::gauge::Gauge;

use crate::state::GuardState;

/// Gauges that are read off the state when they are asked for.
pub(crate) struct GuardMetrics {
    metrics: ProcessMetrics,
    runs: CauseGauges,
    held: Gauge,
    ready: Gauge,
}

impl GuardMetrics {
    pub(crate) fn new() -> Self {
        let mut metrics = MetricsBuilder::new("cloverfold_guard");
        let help = "Runs since the start, by what became of them";
        let runs = metrics.add_cause_gauges("runs", help);
        Self {
            held: metrics.add_gauge("held_runs", "Runs held now, also those that wait"),
            ready: metrics.add_gauge("target_ready", "1 while the target takes work"),
            runs,
            metrics: metrics.finish(),
        }
    }

    /// Writes the metrics as text.
    pub(crate) fn write(&self, state: &GuardState) -> String {
        let counts = state.counts();
        self.runs.set(&[
            ("started", counts.started),
            ("repeated_starts", counts.repeated_starts),
            ("lost", counts.lost),
            ("stopped", counts.stopped),
            ("refused", counts.refused),
            ("expired_sessions", counts.expired_sessions),
            ("orphans", counts.orphans),
            ("stuck", counts.stuck),
            ("target_pauses", counts.pauses),
        ]);
        self.held.set(state.held() as i64);
        self.ready.set(i64::from(state.has_ready_target()));
        self.metrics.write()
    }
}
