//! Decision: which jobs come again after a lost answer, so that they are late already.
//!
//! After a loss of power every job whose answer was lost comes again [`Timings::resend_interval`](crate::Timings::resend_interval) later, together with
//! the new ones: for that long twice as much is asked for as usual, and what comes again may be past its objective. Served in order of
//! arrival, such jobs make those late that could still be in time. So a job that is late when it comes is served after the others (`precedence`)
//! and leaves headroom (`headroom`).
//!
//! Rule: a caller that comes again waits for less than callers of its queue usually do, by the time since its first attempt. A job whose caller waits for
//! less than usual, by half a resend at least and by [`NOISE_FACTOR`] times what callers of the queue differ by, comes again; it is
//! late if its objective is no longer than a resend.
//!
//! Inputs: the time for which callers say that they wait, in milliseconds; the objective; the resend of the settings. Without the former
//! nothing is late.
//!
//! Owns how long callers of each queue wait of late ([`ReturnedCallers`]). Nothing is stored: the first [`MIN_KEPT`] jobs of a queue
//! after a start count as new.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::dispatcher::Dispatcher;
use crate::request::JobRequest;

/// Newest callers of a queue of which is kept how long they wait: about the callers of one second at one entry of the largest
/// installations played.
const KEPT_CALLERS: usize = 64;
/// With fewer callers than this, how long they usually wait is unknown.
const MIN_KEPT: usize = 8;
/// Queues at most; beyond them nothing is learned, so that memory is bounded.
const MAX_QUEUES: usize = 256;
/// How many times what callers of a queue differ by a caller must wait for less than usual. Reckoned on the waits of new callers in a play,
/// 1,300 ms less for those that come again: 2 finds 64 % of the jobs of 200 ms that come again and takes 1.3 % of the new ones for such,
/// 1.5 finds 83 % and takes 2.6 %, 1 finds 92 % and takes 4.2 %; of the jobs of 60 ms each finds all and takes none (design note 15).
const NOISE_FACTOR: f64 = 2.0;
/// The quantile of the waits that counts as usual: while half of all come again it is the median of the new ones.
const USUAL_QUANTILE: f64 = 0.75;
/// Between this quantile and [`USUAL_QUANTILE`] the difference of callers is measured: above the latter there are only new callers.
const HIGH_QUANTILE: f64 = 0.90;
/// Standard deviations of a normal distribution between the two quantiles.
const DEVIATIONS_BETWEEN: f64 = 0.61;

/// How long the callers of one queue wait.
#[derive(Debug, Default)]
struct QueueWaits {
    /// Oldest first.
    newest: VecDeque<Duration>,
}

impl QueueWaits {
    fn record(&mut self, wait: Duration) {
        if self.newest.len() == KEPT_CALLERS {
            self.newest.pop_front();
        }
        self.newest.push_back(wait);
    }

    /// Returns the wait below which a caller comes again; `None` while too few are known.
    fn shortest_first_wait(&self, resend: Duration) -> Option<Duration> {
        if self.newest.len() < MIN_KEPT {
            return None;
        }
        let mut sorted: Vec<Duration> = self.newest.iter().copied().collect();
        sorted.sort_unstable();
        let quantile = |share: f64| sorted[(share * (sorted.len() - 1) as f64).round() as usize];
        let usual = quantile(USUAL_QUANTILE);
        let deviation = (quantile(HIGH_QUANTILE) - usual).div_f64(DEVIATIONS_BETWEEN);
        let noise = deviation.mul_f64(NOISE_FACTOR);
        Some(usual.saturating_sub(noise.max(resend / 2)))
    }
}

/// How long the callers of each queue wait, and with it which of them come again.
#[derive(Debug)]
pub(super) struct ReturnedCallers {
    /// After this time a caller comes again.
    resend: Duration,
    waits: HashMap<String, QueueWaits>,
}

impl ReturnedCallers {
    pub(super) fn new(resend: Duration) -> Self {
        Self {
            resend,
            waits: HashMap::new(),
        }
    }

    /// Records a caller that waits for so long, and returns whether its job is past its objective already.
    pub(super) fn record(&mut self, queue: &str, wait: Duration, objective: Duration) -> bool {
        let comes_again = self.comes_again(queue, wait);
        if let Some(waits) = self.waits.get_mut(queue) {
            waits.record(wait);
        } else if self.waits.len() < MAX_QUEUES {
            let waits = self.waits.entry(queue.into()).or_default();
            waits.record(wait);
        }
        comes_again && objective <= self.resend
    }

    fn comes_again(&self, queue: &str, wait: Duration) -> bool {
        let waits = self.waits.get(queue);
        let shortest = waits.and_then(|waits| waits.shortest_first_wait(self.resend));
        shortest.is_some_and(|shortest| wait < shortest)
    }
}

impl Dispatcher {
    /// Returns whether a job that is submitted now is past its objective.
    pub(super) fn comes_late(&mut self, request: &JobRequest) -> bool {
        let Some(wait) = request.caller_timeout else {
            return false;
        };
        let objective = request.target_latency();
        let is_late = self
            .returned_callers
            .record(&request.queue, wait, objective);
        self.counts.late_resubmissions += u64::from(is_late);
        is_late
    }
}
