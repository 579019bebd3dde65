//! Metrics of the execution of tasks.
//!
//! Owns the counters of this guard and the target's own count of starts beside them, so that the two can be compared. Relies
//! on the task runner to set them.

use cloverfold_app::App;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

/// Counts of what happened at the target.
#[derive(Clone, Default)]
pub(crate) struct ExecuteMetrics {
    /// Tasks sent to the target.
    pub(crate) starts: Counter,
    /// Tasks that did not end well at the target.
    pub(crate) failures: Counter,
    /// Starts as the target itself counts them.
    pub(crate) reported_starts: Gauge<i64>,
}

impl ExecuteMetrics {
    /// Adds the metrics to a process's registry.
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
