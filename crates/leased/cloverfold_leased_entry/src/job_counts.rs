//! Counters of jobs by queue and outcome.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cloverfold_lease::{JobAnswer, JobRefusal};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Maximum number of queues with a label of their own. All others share one label, which bounds the cardinality of the metric.
const MAX_NAMED_QUEUES: usize = 64;
/// Label of all other queues.
const OTHER_QUEUES: &str = "other";

/// Outcome of a job in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// Completed within the latency objective, which depends on the estimated work.
    InTime,
    /// Completed after the latency objective.
    Late,
    Failed,
    GivenUp,
    Refused(JobRefusal),
}

impl JobOutcome {
    /// Returns the outcome of a job that was answered after `took`; `objective` is its latency objective.
    pub(crate) fn new(answer: JobAnswer, took: Duration, objective: Duration) -> Self {
        match answer {
            JobAnswer::Completed if took <= objective => Self::InTime,
            JobAnswer::Completed => Self::Late,
            JobAnswer::Failed => Self::Failed,
            JobAnswer::GivenUp => Self::GivenUp,
            JobAnswer::Refused { cause, .. } => Self::Refused(cause),
        }
    }

    /// Returns the label value; a refusal has the name of its cause.
    fn as_str(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::Late => "late",
            Self::Failed => "failed",
            Self::GivenUp => "given_up",
            Self::Refused(cause) => cause.as_str(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct JobLabel {
    queue: String,
    outcome: &'static str,
}

/// Counters of jobs by queue and outcome.
#[derive(Default)]
pub(crate) struct JobCounts {
    counters: Family<JobLabel, Counter>,
    named: Mutex<BTreeSet<String>>,
}

impl JobCounts {
    /// Returns the counters for registration.
    pub(crate) fn counters(&self) -> Family<JobLabel, Counter> {
        self.counters.clone()
    }

    pub(crate) fn count(&self, queue: &str, outcome: JobOutcome) {
        let label = JobLabel {
            queue: self.name(queue),
            outcome: outcome.as_str(),
        };
        self.counters.get_or_create(&label).inc();
    }

    /// Returns the label value of a queue.
    fn name(&self, queue: &str) -> String {
        // Names are only added, so a panic elsewhere leaves the set consistent.
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        if named.contains(queue) {
            return queue.into();
        }
        if named.len() == MAX_NAMED_QUEUES {
            return OTHER_QUEUES.into();
        }
        named.insert(queue.into());
        queue.into()
    }
}
