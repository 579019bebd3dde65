//! Metrics of a process's view of its cell.

use cloverfold_app::App;
use prometheus_client::metrics::gauge::Gauge;

/// Gauges of this process's view of the guards.
#[derive(Clone, Default)]
pub(crate) struct MembershipMetrics {
    /// Guards that accept work, according to this process.
    pub(crate) live: Gauge<i64>,
    /// The acting lead, according to this process; 0 if there is none.
    pub(crate) acting_lead: Gauge<i64>,
}

impl MembershipMetrics {
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
