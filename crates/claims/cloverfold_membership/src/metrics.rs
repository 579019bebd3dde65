//! Metrics of what a process knows of its cell.

use cloverfold_app::App;
use prometheus_client::metrics::gauge::Gauge;

/// What this process knows of the guards.
#[derive(Clone, Default)]
pub(crate) struct MembershipMetrics {
    /// Guards that this process takes to be able to work.
    pub(crate) live: Gauge<i64>,
    /// Number of the guard that this process takes to be the acting lead; 0 for none.
    pub(crate) acting_lead: Gauge<i64>,
}

impl MembershipMetrics {
    /// Adds the metrics to a process's registry.
    pub(crate) fn register(app: &mut App) -> Self {
        let metrics = Self::default();
        let registry = app.registry();
        registry.register(
            "members_live",
            "Guards that this process takes for able to work",
            metrics.live.clone(),
        );
        registry.register(
            "acting_lead",
            "Number of the guard that this process takes for the one that leads; 0 for none",
            metrics.acting_lead.clone(),
        );
        metrics
    }
}
