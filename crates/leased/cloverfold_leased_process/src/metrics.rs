//! Metrics registry of a process, with the metrics that all leased processes have.

use cloverfold_peer::SentCounts;
use cloverfold_telemetry::{CauseGauges, dropped_line_count, write_metrics};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};

use crate::budgets::{BudgetMetrics, ProcessBudgets};
use crate::suspensions::SuspensionMonitor;

/// Builder of the metrics of a process; they are written in the order of registration.
#[derive(Debug)]
pub struct MetricsBuilder {
    registry: Registry,
}

impl MetricsBuilder {
    /// Creates a builder for metrics whose names start with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self {
            registry: Registry::with_prefix(prefix),
        }
    }

    /// Registers a metric of any type and returns it.
    pub fn add<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.registry.register(name, help, metric.clone());
        metric
    }

    /// Registers a gauge.
    pub fn add_gauge(&mut self, name: &str, help: &str) -> Gauge {
        self.add(name, help, Gauge::default())
    }

    /// Registers a family of gauges, one for each cause.
    pub fn add_cause_gauges(&mut self, name: &str, help: &str) -> CauseGauges {
        CauseGauges::register(&mut self.registry, name, help)
    }

    /// Registers the metrics that all processes have, and finishes the registration.
    pub fn finish(mut self, budgets: ProcessBudgets) -> ProcessMetrics {
        let budgets = BudgetMetrics::new(&mut self, budgets);
        let help = "Log lines dropped since the start";
        let dropped_lines = self.add_gauge("dropped_log_lines", help);
        let help = "Suspensions of the box noticed since the start";
        let box_suspensions = self.add_gauge("box_suspensions", help);
        let help = "Messages sent to other processes since the start, by kind";
        let sent_messages = self.add_cause_gauges("sent_messages", help);
        let help = "Bytes of these messages";
        let sent_bytes = self.add_cause_gauges("sent_bytes", help);
        ProcessMetrics {
            registry: self.registry,
            budgets,
            dropped_lines,
            box_suspensions,
            sent_messages,
            sent_bytes,
        }
    }
}

/// All metrics of a process.
#[derive(Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    budgets: BudgetMetrics,
    dropped_lines: Gauge,
    box_suspensions: Gauge,
    sent_messages: CauseGauges,
    sent_bytes: CauseGauges,
}

impl ProcessMetrics {
    /// Encodes all metrics in the Prometheus text format, after updating the ones that all processes have.
    pub fn write(&self, sent: &SentCounts, suspensions: &SuspensionMonitor) -> String {
        self.budgets.set();
        self.box_suspensions
            .set(suspensions.detected_count() as i64);
        self.dropped_lines.set(dropped_line_count() as i64);
        for sent in sent.iter() {
            self.sent_messages.set(&[(sent.kind, sent.messages)]);
            self.sent_bytes.set(&[(sent.kind, sent.bytes)]);
        }
        write_metrics(&self.registry)
    }
}
