//! Detection of jobs that callers submit again after a lost answer and that have already missed their objective.
//!
//! After a power loss, every job whose answer was lost is resubmitted after [`Timings::resend_interval`](crate::Timings::resend_interval),
//! in addition to the new jobs. The load doubles for that time, and resubmitted jobs may already have missed their objective. If they were
//! served in order of arrival, new jobs would miss theirs too. So a late resubmission is served after other jobs (`precedence`) and leaves
//! headroom (`headroom`).
//!
//! A caller that resubmits a job specifies a shorter timeout than other callers of its queue, by the time since its first attempt. A job
//! counts as a resubmission if its timeout is shorter than usual by at least half a resend interval and by [`NOISE_FACTOR`] standard
//! deviations of the timeouts in its queue. It is late if its latency objective is not above the resend interval. Jobs without a caller
//! timeout are never late.
//!
//! Nothing is stored: after a start, the first [`MIN_SAMPLES`] jobs of each queue count as new.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::dispatcher::Dispatcher;
use crate::request::JobRequest;

/// Number of recent callers of a queue whose timeouts are stored: about the callers of one second at one entry of a large installation.
const WINDOW_SIZE: usize = 64;
/// Number of samples below which the usual timeout of a queue is unknown.
const MIN_SAMPLES: usize = 8;
/// Limits memory use; resubmissions to further queues are not detected.
const MAX_QUEUES: usize = 256;
/// Number of standard deviations by which the timeout of a resubmission is below the usual one. A lower value detects more resubmissions
/// and misclassifies more new jobs.
const NOISE_FACTOR: f64 = 2.0;
/// Quantile of the timeouts that counts as usual: the median of new callers while half of all callers resubmit.
const TYPICAL_QUANTILE: f64 = 0.75;
/// The standard deviation is estimated between [`TYPICAL_QUANTILE`] and this quantile, where all callers are new.
const HIGH_QUANTILE: f64 = 0.90;
/// Standard deviations of a normal distribution between these two quantiles.
const DEVIATIONS_BETWEEN_QUANTILES: f64 = 0.61;

/// Recent caller timeouts of one queue.
#[derive(Debug, Default)]
struct CallerTimeouts {
    /// Oldest first.
    recent: VecDeque<Duration>,
}

impl CallerTimeouts {
    fn record(&mut self, timeout: Duration) {
        if self.recent.len() == WINDOW_SIZE {
            self.recent.pop_front();
        }
        self.recent.push_back(timeout);
    }

    /// Returns the timeout below which a job counts as a resubmission, or `None` without enough samples.
    fn resubmission_threshold(&self, resend_interval: Duration) -> Option<Duration> {
        if self.recent.len() < MIN_SAMPLES {
            return None;
        }
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let quantile = |share: f64| sorted[(share * (sorted.len() - 1) as f64).round() as usize];
        let typical = quantile(TYPICAL_QUANTILE);
        let deviation = (quantile(HIGH_QUANTILE) - typical).div_f64(DEVIATIONS_BETWEEN_QUANTILES);
        let margin = deviation.mul_f64(NOISE_FACTOR);
        Some(typical.saturating_sub(margin.max(resend_interval / 2)))
    }
}

/// Detects resubmissions by the timeouts of callers.
#[derive(Debug)]
pub(super) struct ResubmissionDetector {
    /// Interval after which callers resubmit an unanswered job.
    resend_interval: Duration,
    timeouts: HashMap<String, CallerTimeouts>,
}

impl ResubmissionDetector {
    pub(super) fn new(resend_interval: Duration) -> Self {
        Self {
            resend_interval,
            timeouts: HashMap::new(),
        }
    }

    /// Records the timeout of a caller, and returns whether its job is a late resubmission.
    pub(super) fn record(&mut self, queue: &str, timeout: Duration, objective: Duration) -> bool {
        let is_resubmission = self.is_resubmission(queue, timeout);
        if let Some(timeouts) = self.timeouts.get_mut(queue) {
            timeouts.record(timeout);
        } else if self.timeouts.len() < MAX_QUEUES {
            let timeouts = self.timeouts.entry(queue.into()).or_default();
            timeouts.record(timeout);
        }
        is_resubmission && objective <= self.resend_interval
    }

    fn is_resubmission(&self, queue: &str, timeout: Duration) -> bool {
        let timeouts = self.timeouts.get(queue);
        let threshold =
            timeouts.and_then(|timeouts| timeouts.resubmission_threshold(self.resend_interval));
        threshold.is_some_and(|threshold| timeout < threshold)
    }
}

impl Dispatcher {
    /// Returns whether a new submission is a late resubmission, and counts it if so.
    pub(super) fn detect_late_resubmission(&mut self, request: &JobRequest) -> bool {
        let Some(timeout) = request.caller_timeout else {
            return false;
        };
        let objective = request.latency_objective();
        let is_late_resubmission = self
            .resubmissions
            .record(&request.queue, timeout, objective);
        self.counts.late_resubmissions += u64::from(is_late_resubmission);
        is_late_resubmission
    }
}
