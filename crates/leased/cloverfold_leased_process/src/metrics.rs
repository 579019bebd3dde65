//! The metrics that every leased process has, and how they are written.
//!
//! Owns the registry of one process. Relies on each process to declare its metrics once and to set them before they are written, and on
//! `cloverfold_telemetry` for the text and the count of dropped log lines.

use cloverfold_peer::SentCounts;
use cloverfold_telemetry::{CauseGauges, dropped_line_count, write_metrics};
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Metric, Registry};

use crate::suspensions::SuspensionMonitor;

/// Metrics that are being declared; they are written in the order of their declaration.
#[derive(Debug)]
pub struct MetricsBuilder {
    registry: Registry,
}

impl MetricsBuilder {
    /// Declares metrics whose names begin with `prefix`.
    pub fn new(prefix: &str) -> Self {
        Self {
            registry: Registry::with_prefix(prefix),
        }
    }

    /// Declares a metric of any kind; returns it to count with.
    pub fn add<M: Metric + Clone>(&mut self, name: &str, help: &str, metric: M) -> M {
        self.registry.register(name, help, metric.clone());
        metric
    }

    /// Declares a gauge.
    pub fn add_gauge(&mut self, name: &str, help: &str) -> Gauge {
        self.add(name, help, Gauge::default())
    }

    /// Declares a gauge for each cause.
    pub fn add_cause_gauges(&mut self, name: &str, help: &str) -> CauseGauges {
        CauseGauges::register(&mut self.registry, name, help)
    }

    /// Adds the metrics that every process has and ends the declaration.
    pub fn finish(mut self) -> ProcessMetrics {
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
    dropped_lines: Gauge,
    box_suspensions: Gauge,
    sent_messages: CauseGauges,
    sent_bytes: CauseGauges,
}

impl ProcessMetrics {
    /// Writes all metrics as text, in the format of Prometheus; `sent` is what the process has sent to others.
    pub fn write(&self, sent: &SentCounts, suspensions: &SuspensionMonitor) -> String {
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
