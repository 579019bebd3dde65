//! Metrics of coordinated jobs.
//!
//! Owns the counters, all since the start of the process. Relies on the coordinator, the driver, the assignments and the job
//! context to count. Names and help texts are part of the interface to operators and stay as they are.

use cloverfold_app::App;
use cloverfold_claims_core::Outcome;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Label that names the outcome of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// Counts of jobs and of messages beyond the first for a task.
#[derive(Clone, Default)]
pub(crate) struct CoordinateMetrics {
    jobs: Family<OutcomeLabel, Counter>,
    /// Assignments sent again after a lost connection.
    pub(crate) repeated_assigns: Counter,
    /// Assignments of tasks that another guard had passed on.
    pub(crate) moves: Counter,
    /// Releases asked for.
    pub(crate) releases: Counter,
    /// Tasks started again after their first start was lost.
    pub(crate) retries: Counter,
}

impl CoordinateMetrics {
    /// Counts an answered job.
    pub(crate) fn count_job(&self, outcome: &Outcome) {
        let outcome = outcome.kind();
        self.jobs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Adds the metrics to a process's registry.
    pub(crate) fn register(app: &mut App) -> Self {
        let metrics = Self::default();
        let registry = app.registry();
        registry.register("jobs", "Jobs answered, by outcome", metrics.jobs.clone());
        registry.register(
            "repeated_assigns",
            "Assignments sent again after a lost connection",
            metrics.repeated_assigns.clone(),
        );
        registry.register(
            "task_moves",
            "Assignments of tasks that another guard had passed on",
            metrics.moves.clone(),
        );
        registry.register(
            "releases",
            "Tasks asked back before their start",
            metrics.releases.clone(),
        );
        registry.register(
            "task_retries",
            "Tasks started again because their customer allows it",
            metrics.retries.clone(),
        );
        metrics
    }
}
