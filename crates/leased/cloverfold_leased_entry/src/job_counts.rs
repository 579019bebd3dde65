//! Jobs by queue and by how they were answered.
//!
//! Owns the counters. Relies on the submission to count each job once.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cloverfold_lease::{JobAnswer, JobRefusal};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Queues that are counted by name; all further ones are counted together, so that a long configuration cannot make the metrics
/// grow without bound.
const MAX_NAMED_QUEUES: usize = 64;
/// The name under which further queues are counted.
const OTHER_QUEUES: &str = "other";

/// How a job was answered, as operators read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobOutcome {
    /// Completed within its objective, reckoned from the estimated work.
    InTime,
    /// Completed after its objective.
    Late,
    Failed,
    GivenUp,
    Refused(JobRefusal),
}

impl JobOutcome {
    /// Returns the outcome of a job that was answered after `took`.
    pub(crate) fn new(answer: JobAnswer, took: Duration, objective: Duration) -> Self {
        match answer {
            JobAnswer::Completed if took <= objective => Self::InTime,
            JobAnswer::Completed => Self::Late,
            JobAnswer::Failed => Self::Failed,
            JobAnswer::GivenUp => Self::GivenUp,
            JobAnswer::Refused { cause, .. } => Self::Refused(cause),
        }
    }

    /// Returns its name in the metrics; a refusal is named by its cause.
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
    /// Returns the counters, to be registered.
    pub(crate) fn counters(&self) -> Family<JobLabel, Counter> {
        self.counters.clone()
    }

    /// Counts a job of a queue.
    pub(crate) fn count(&self, queue: &str, outcome: JobOutcome) {
        let label = JobLabel {
            queue: self.name(queue),
            outcome: outcome.as_str(),
        };
        self.counters.get_or_create(&label).inc();
    }

    /// Returns the name under which a queue is counted.
    fn name(&self, queue: &str) -> String {
        // Names are only ever added, so a panic elsewhere leaves the set whole.
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
