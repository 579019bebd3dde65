//! What each queue was given of late, and which queues are in use.
//!
//! Owns the recent use of each queue ([`QueueShares`]). Relies on the dispatcher to record each assignment with its estimated duration.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// After this time a past use counts for 1 / e. Long against the jobs of a burst, short against the seconds for which a mix of
/// requests lasts. Chosen, not measured.
const USE_MEMORY: Duration = Duration::from_secs(1);
/// A queue with less than this share of all use counts as not in use: it claims no part. Chosen, not measured.
const LEAST_USE: f64 = 0.01;

/// Processor time that one queue was given of late.
#[derive(Clone, Copy, Debug)]
struct RecentUse {
    /// 0 comes first.
    priority: u32,
    /// In core-seconds, as of `at`.
    core_seconds: f64,
    at: Timestamp,
}

impl RecentUse {
    /// Returns what of the use still counts.
    fn remaining(&self, now: Timestamp) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.core_seconds * (-age.div_duration_f64(USE_MEMORY)).exp()
    }
}

/// What each queue was given of late.
#[derive(Debug, Default)]
pub(super) struct QueueShares {
    by_queue: HashMap<String, RecentUse>,
}

impl QueueShares {
    /// Records processor time, in core-seconds, that a queue is given.
    pub(super) fn record(&mut self, queue: &str, priority: u32, core_seconds: f64, now: Timestamp) {
        let before = self.by_queue.get(queue);
        let before = before.map_or(0.0, |use_of| use_of.remaining(now));
        let recent = RecentUse {
            priority,
            core_seconds: before + core_seconds,
            at: now,
        };
        self.by_queue.insert(queue.into(), recent);
    }

    /// Returns whether a queue of a more urgent priority is in use.
    pub(super) fn has_more_urgent(&self, priority: u32, now: Timestamp) -> bool {
        self.list_in_use(now)
            .any(|recent| recent.priority < priority)
    }

    /// Lists the use of the queues that are in use.
    fn list_in_use(&self, now: Timestamp) -> impl Iterator<Item = &RecentUse> {
        let least = LEAST_USE * self.total(now);
        let all = self.by_queue.values();
        all.filter(move |recent| recent.remaining(now) > least)
    }

    /// Returns what all queues together were given of late, in core-seconds.
    fn total(&self, now: Timestamp) -> f64 {
        let all = self.by_queue.values();
        all.map(|recent| recent.remaining(now)).sum()
    }
}
