//! The budgets of the listeners of a process, and their metrics.

use cloverfold_connections::ConnectionBudget;
use cloverfold_telemetry::CauseGauges;
use prometheus_client::metrics::gauge::Gauge;

use crate::metrics::MetricsBuilder;

/// The budgets whose usage the metrics of a process show.
#[derive(Clone, Debug)]
pub struct ProcessBudgets {
    /// Connections of callers, operators or targets, and the memory held for them.
    pub clients: ConnectionBudget,
    /// Accepted links whose peer has not identified itself.
    pub unidentified_links: ConnectionBudget,
}

/// Gauges that are set from [`ProcessBudgets`].
#[derive(Debug)]
pub(crate) struct BudgetMetrics {
    budgets: ProcessBudgets,
    client_connections: Gauge,
    client_bytes: Gauge,
    unidentified_links: Gauge,
    refusals: CauseGauges,
}

impl BudgetMetrics {
    pub(crate) fn new(metrics: &mut MetricsBuilder, budgets: ProcessBudgets) -> Self {
        Self {
            budgets,
            client_connections: metrics.add_gauge("client_connections", "Open client connections"),
            client_bytes: metrics.add_gauge("client_bytes", "Memory held for clients"),
            unidentified_links: metrics.add_gauge(
                "unidentified_links",
                "Accepted links whose peer has not identified itself",
            ),
            refusals: metrics.add_cause_gauges(
                "connection_limits",
                "How often a limit on connections or their memory acted since the start, by effect",
            ),
        }
    }

    pub(crate) fn set(&self) {
        let clients = self.budgets.clients.usage();
        let links = self.budgets.unidentified_links.usage();
        self.client_connections.set(clients.connections as i64);
        self.client_bytes.set(clients.held_bytes as i64);
        self.unidentified_links.set(links.connections as i64);
        self.refusals.set(&[
            ("client_closed", clients.closed),
            ("client_refused", clients.refused_connections),
            ("memory_refused", clients.refused_memory),
            ("link_closed", links.closed),
            ("link_refused", links.refused_connections),
        ]);
    }
}
