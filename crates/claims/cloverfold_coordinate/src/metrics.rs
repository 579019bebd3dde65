//! Metrics of coordinated jobs.
//!
//! Operators rely on the names and help texts, so these are stable.

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

/// Counts of jobs, and of repeated, moved, released and retried tasks.
#[derive(Clone, Default)]
pub(crate) struct CoordinateMetrics {
    jobs: Family<OutcomeLabel, Counter>,
    /// Assignments repeated after a lost connection.
    pub(crate) repeated_assigns: Counter,
    /// Assignments of tasks that had another placement before.
    pub(crate) moves: Counter,
    /// Requested releases.
    pub(crate) releases: Counter,
    /// Tasks retried after their guard or target was lost.
    pub(crate) retries: Counter,
}

impl CoordinateMetrics {
    pub(crate) fn count_job(&self, outcome: &Outcome) {
        let outcome = outcome.kind();
        self.jobs.get_or_create(&OutcomeLabel { outcome }).inc();
    }

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
