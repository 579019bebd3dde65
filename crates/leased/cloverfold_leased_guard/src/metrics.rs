//! What a guard counts.

use cloverfold_telemetry::{CauseGauges, count_dropped_lines, write_metrics};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::state::GuardState;

/// Gauges that are read off the state when they are asked for.
pub(crate) struct GuardMetrics {
    registry: Registry,
    runs: CauseGauges,
    held: Gauge,
    ready: Gauge,
    dropped_lines: Gauge,
}

impl GuardMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("cloverfold_guard");
        let help = "Runs since the start, by what became of them";
        let runs = CauseGauges::register(&mut registry, "runs", help);
        let mut add = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            held: add("held_runs", "Runs held now, also those that wait"),
            ready: add("target_ready", "1 while the target takes work"),
            dropped_lines: add("dropped_log_lines", "Log lines dropped since the start"),
            runs,
            registry,
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
        self.dropped_lines.set(count_dropped_lines() as i64);
        write_metrics(&self.registry)
    }
}
