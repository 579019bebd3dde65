//! Metrics of task execution, with the target's own count of starts for comparison.

use cloverfold_app::App;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// Counts of tasks at the target.
#[derive(Clone, Default)]
pub(crate) struct ExecuteMetrics {
    /// Tasks sent to the target.
    pub(crate) starts: Counter,
    /// Tasks that failed or were not started at the target.
    pub(crate) failures: Counter,
    /// Starts according to the target.
    pub(crate) reported_starts: Gauge<i64>,
}

impl ExecuteMetrics {
    pub(crate) fn register(app: &mut App) -> Self {
        let metrics = Self::default();
        let registry = app.registry();
        registry.register(
            "task_starts",
            "Tasks sent to the target",
            metrics.starts.clone(),
        );
        registry.register(
            "task_failures",
            "Tasks that did not end well at the target",
            metrics.failures.clone(),
        );
        registry.register(
            "target_reported_starts",
            "Starts as the target itself counts them",
            metrics.reported_starts.clone(),
        );
        metrics
    }
}
