//! Decision: how old the count of a queue's kept jobs may be.
//!
//! Rule: a count that was asked for within [`FRESH`] is given again; within [`USABLE`] only if the groups do not answer.
//!
//! Inputs: the counts and when they were asked for.
//!
//! Reason: callers accept a count that is two seconds old, and one question to each group a second and queue is enough.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cloverfold_base::Timestamp;

/// A count of this age is given without asking.
const FRESH: Duration = Duration::from_millis(800);
/// The oldest count that is given at all: drivers tell what has begun every 0.3 s, and callers accept 2 s.
const USABLE: Duration = Duration::from_millis(1_600);
/// Queues whose counts are remembered; beyond that all are forgotten.
const MAX_QUEUES: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct PendingCount {
    count: usize,
    asked_at: Timestamp,
}

/// The counts of queues that were asked for of late.
#[derive(Debug, Default)]
pub(crate) struct PendingCounts {
    by_queue: Mutex<HashMap<String, PendingCount>>,
}

impl PendingCounts {
    /// Returns a count that need not be asked for.
    pub(crate) fn find_fresh(&self, queue: &str, now: Timestamp) -> Option<usize> {
        self.find(queue, FRESH, now)
    }

    /// Returns a count that may be given if the groups do not answer.
    pub(crate) fn find_usable(&self, queue: &str, now: Timestamp) -> Option<usize> {
        self.find(queue, USABLE, now)
    }

    /// Records a count.
    pub(crate) fn record(&self, queue: &str, count: usize, asked_at: Timestamp) {
        let mut by_queue = self.lock();
        if by_queue.len() >= MAX_QUEUES {
            by_queue.clear();
        }
        by_queue.insert(queue.into(), PendingCount { count, asked_at });
    }

    fn find(&self, queue: &str, oldest: Duration, now: Timestamp) -> Option<usize> {
        let known = self.lock().get(queue).copied()?;
        let age = now.saturating_duration_since(known.asked_at);
        (age <= oldest).then_some(known.count)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, PendingCount>> {
        // A count is written with one call, so a panic elsewhere leaves the map whole.
        self.by_queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
