//! Metrics of an entry.

use std::time::Duration;

use cloverfold_leased_process::{MetricsBuilder, ProcessBudgets, ProcessMetrics};
use cloverfold_telemetry::CauseGauges;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

use crate::job_counts::{JobCounts, JobOutcome};
use crate::state::EntryState;

/// Upper bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Ratio of the upper bounds of consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the last one ends at 10.24 s.
const BUCKET_COUNT: u16 = 12;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Counters and histograms of answers, and gauges that are set from [`EntryState`] when the metrics are written.
pub(crate) struct EntryMetrics {
    metrics: ProcessMetrics,
    answers: Family<OutcomeLabel, Counter>,
    answer_seconds: Histogram,
    jobs: JobCounts,
    runs: CauseGauges,
    given_back: CauseGauges,
    waiting_jobs: CauseGauges,
    version: Gauge,
    ready_targets: Gauge,
    open_jobs: Gauge,
    kept_jobs: Gauge,
    driver_leases: Gauge,
    acceptance_seconds: Histogram,
    evacuation_revision: Gauge,
    evacuated_halls: Gauge,
}

impl EntryMetrics {
    pub(crate) fn new(budgets: ProcessBudgets) -> Self {
        let mut metrics = MetricsBuilder::new("cloverfold_entry");
        let answers = Family::default();
        let answers = metrics.add("answers", "Submissions by outcome", answers);
        let answer_seconds = Histogram::new(exponential_buckets(
            FIRST_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKET_COUNT,
        ));
        let answer_seconds = metrics.add("answer_seconds", "Time to the answer", answer_seconds);
        let acceptance_seconds = Histogram::new(exponential_buckets(
            FIRST_BUCKET_SECONDS,
            BUCKET_FACTOR,
            BUCKET_COUNT,
        ));
        let help = "Time until a kept job was accepted";
        let acceptance_seconds = metrics.add("acceptance_seconds", help, acceptance_seconds);
        let jobs = JobCounts::default();
        metrics.add("jobs", "Jobs by queue and outcome", jobs.counters());
        let help = "Runs since the start, by what became of them";
        let runs = metrics.add_cause_gauges("runs", help);
        let help = "Runs given back without a start since the start, by the guard's reason";
        let given_back = metrics.add_cause_gauges("given_back", help);
        let help = "Jobs with tasks that wait for a target, by cause";
        let waiting_jobs = metrics.add_cause_gauges("waiting_jobs", help);
        Self {
            version: metrics.add_gauge("configuration_version", "Version in force here"),
            ready_targets: metrics.add_gauge("ready_targets", "Targets that take work"),
            open_jobs: metrics.add_gauge("open_jobs", "Jobs without an answer yet"),
            kept_jobs: metrics.add_gauge("kept_jobs", "Kept jobs that are driven here"),
            driver_leases: metrics.add_gauge(
                "driver_leases",
                "Groups of kept jobs that this entry has a lease of",
            ),
            acceptance_seconds,
            evacuation_revision: metrics.add_gauge(
                "evacuation_revision",
                "Revision of the evacuations that is in force here",
            ),
            evacuated_halls: metrics.add_gauge("evacuated_halls", "Data halls that get no work"),
            answers,
            answer_seconds,
            jobs,
            runs,
            given_back,
            waiting_jobs,
            metrics: metrics.finish(budgets),
        }
    }

    pub(crate) fn count_answer(&self, outcome: &'static str) {
        self.answers.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    pub(crate) fn observe_answer_time(&self, took: Duration) {
        self.answer_seconds.observe(took.as_secs_f64());
    }

    /// Observes the time until a kept job was accepted.
    pub(crate) fn observe_acceptance_time(&self, took: Duration) {
        self.acceptance_seconds.observe(took.as_secs_f64());
    }

    pub(crate) fn count_job(&self, queue: &str, outcome: JobOutcome) {
        self.jobs.count(queue, outcome);
    }

    /// Updates the gauges from the state and encodes all metrics as text.
    pub(crate) fn write(&self, state: &EntryState) -> String {
        let counts = state.counts();
        self.runs.set(&[
            ("assigned", counts.assigned),
            ("given_back", counts.refused_runs.total()),
            ("failed", counts.failed),
            ("lost", counts.lost),
            ("stuck", counts.stuck),
            ("stragglers", counts.withdrawn_stragglers),
            ("overdue", counts.overdue),
            ("withdrawn", counts.withdrawn),
            ("stalled", counts.stalled),
            ("target_pauses", counts.pauses),
            ("begun_in_part", counts.partially_started),
            ("came_late", counts.late_resubmissions),
        ]);
        let given_back = counts.refused_runs.iter();
        let given_back: Vec<_> = given_back
            .map(|(reason, count)| (reason.as_str(), count))
            .collect();
        self.given_back.set(&given_back);
        let waiting = state.waiting_jobs();
        self.waiting_jobs.set(&[
            ("NoTarget", waiting.no_target as u64),
            ("NoRoom", waiting.no_capacity as u64),
            ("LimitPerTarget", waiting.limit_per_target as u64),
            ("Held", waiting.earlier_run_open as u64),
        ]);
        self.version.set(state.version() as i64);
        self.ready_targets.set(state.ready_targets() as i64);
        self.open_jobs.set(state.open_jobs() as i64);
        self.kept_jobs.set(state.driven_jobs() as i64);
        self.driver_leases.set(state.valid_leases() as i64);
        let evacuated = state.evacuated_halls();
        self.evacuation_revision.set(evacuated.revision as i64);
        self.evacuated_halls.set(evacuated.halls.len() as i64);
        self.metrics.write(state.sent(), state.suspensions())
    }
}
