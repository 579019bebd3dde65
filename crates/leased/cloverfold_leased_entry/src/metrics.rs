//! What an entry counts.

use std::time::Duration;

use cloverfold_telemetry::{CauseGauges, count_dropped_lines, write_metrics};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::state::EntryState;

/// Bounds of the first bucket, in seconds, and how many double it.
const FIRST_BUCKET: f64 = 0.005;
const BUCKETS: u16 = 12;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Counters and histograms of answers, and gauges that are read off the state when they are asked for.
pub(crate) struct EntryMetrics {
    registry: Registry,
    answers: Family<OutcomeLabel, Counter>,
    seconds: Histogram,
    runs: CauseGauges,
    version: Gauge,
    targets: Gauge,
    open_jobs: Gauge,
    dropped_lines: Gauge,
}

impl EntryMetrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("cloverfold_entry");
        let answers = Family::<OutcomeLabel, Counter>::default();
        registry.register("answers", "Submissions by outcome", answers.clone());
        let seconds = Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        registry.register("answer_seconds", "Time to the answer", seconds.clone());
        let help = "Runs since the start, by what became of them";
        let runs = CauseGauges::register(&mut registry, "runs", help);
        let mut add = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        Self {
            version: add("configuration_version", "Version in force here"),
            targets: add("ready_targets", "Targets that take work"),
            open_jobs: add("open_jobs", "Jobs without an answer yet"),
            dropped_lines: add("dropped_log_lines", "Log lines dropped since the start"),
            answers,
            seconds,
            runs,
            registry,
        }
    }

    pub(crate) fn count_answer(&self, outcome: &'static str) {
        self.answers.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn observe(&self, took: Duration) {
        self.seconds.observe(took.as_secs_f64());
    }

    /// Writes the metrics as text.
    pub(crate) fn write(&self, state: &EntryState) -> String {
        let counts = state.counts();
        self.runs.set(&[
            ("assigned", counts.assigned),
            ("given_back", counts.given_back),
            ("failed", counts.failed),
            ("lost", counts.lost),
            ("stuck", counts.stuck),
            ("stragglers", counts.stragglers),
            ("overdue", counts.overdue),
            ("withdrawn", counts.withdrawn),
            ("stalled", counts.stalled),
            ("target_pauses", counts.pauses),
        ]);
        self.version.set(state.version() as i64);
        self.targets.set(state.ready_targets() as i64);
        self.open_jobs.set(state.dispatcher.open_jobs() as i64);
        self.dropped_lines.set(count_dropped_lines() as i64);
        write_metrics(&self.registry)
    }
}
