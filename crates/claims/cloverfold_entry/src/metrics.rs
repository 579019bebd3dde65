//! Metrics of the answers to callers.
//!
//! Operators rely on the names and help texts, so these are stable.

use std::time::Duration;

use cloverfold_app::App;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};

/// Upper bound of the first bucket of answer times, in seconds.
const FIRST_BUCKET: f64 = 0.005;
/// Ratio between the upper bounds of consecutive buckets.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets; the last upper bound is 41 s.
const BUCKETS: u16 = 14;

/// Label that names the outcome of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AnswerLabel {
    outcome: &'static str,
}

/// Counts and latencies of answers to callers.
#[derive(Clone)]
pub(crate) struct EntryMetrics {
    answers: Family<AnswerLabel, Counter>,
    seconds: Histogram,
    /// Requests in flight.
    pub(crate) in_flight: Gauge<i64>,
    /// Submissions that were sent to another guard after the first.
    pub(crate) reroutes: Counter,
    /// Submissions refused for lack of memory.
    pub(crate) memory_refusals: Counter,
}

impl EntryMetrics {
    pub(crate) fn register(app: &mut App) -> Self {
        let metrics = Self {
            answers: Family::default(),
            seconds: Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS)),
            in_flight: Gauge::default(),
            reroutes: Counter::default(),
            memory_refusals: Counter::default(),
        };
        let registry = app.registry();
        registry.register(
            "answers",
            "Answers to callers, by outcome",
            metrics.answers.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from a request to its answer",
            metrics.seconds.clone(),
        );
        registry.register(
            "in_flight",
            "Requests that wait for their answer",
            metrics.in_flight.clone(),
        );
        registry.register(
            "reroutes",
            "Submissions sent to a further guard of their group",
            metrics.reroutes.clone(),
        );
        registry.register(
            "memory_refusals",
            "Submissions that found no memory",
            metrics.memory_refusals.clone(),
        );
        metrics
    }

    pub(crate) fn record_answer(&self, outcome: &'static str, elapsed: Duration) {
        self.answers.get_or_create(&AnswerLabel { outcome }).inc();
        self.seconds.observe(elapsed.as_secs_f64());
    }
}
