//! Cache of the number of pending kept jobs of each queue.
//!
//! Callers accept counts that are up to two seconds old. A cached count is returned if it is not older than [`FRESH_AGE`], or not older
//! than [`USABLE_AGE`] if the groups do not reply. This limits the queries to each group to about one per second and queue.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cloverfold_base::Timestamp;

/// Maximum age of a count that is returned without a query.
const FRESH_AGE: Duration = Duration::from_millis(800);
/// Maximum age of any returned count. Drivers report started jobs every 0.3 s, and callers accept an age of 2 s.
const USABLE_AGE: Duration = Duration::from_millis(1_600);
/// Maximum number of cached queues; the cache is cleared when it is full.
const MAX_QUEUES: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct PendingCount {
    count: usize,
    queried_at: Timestamp,
}

/// Recent counts by queue.
#[derive(Debug, Default)]
pub(crate) struct PendingCounts {
    by_queue: Mutex<HashMap<String, PendingCount>>,
}

impl PendingCounts {
    /// Returns a count that is fresh enough to skip the query.
    pub(crate) fn find_fresh(&self, queue: &str, now: Timestamp) -> Option<usize> {
        self.find(queue, FRESH_AGE, now)
    }

    /// Returns a count that can be used if the groups do not reply.
    pub(crate) fn find_usable(&self, queue: &str, now: Timestamp) -> Option<usize> {
        self.find(queue, USABLE_AGE, now)
    }

    pub(crate) fn record(&self, queue: &str, count: usize, queried_at: Timestamp) {
        let mut by_queue = self.lock();
        if by_queue.len() >= MAX_QUEUES {
            by_queue.clear();
        }
        by_queue.insert(queue.into(), PendingCount { count, queried_at });
    }

    fn find(&self, queue: &str, oldest: Duration, now: Timestamp) -> Option<usize> {
        let known = self.lock().get(queue).copied()?;
        let age = now.saturating_duration_since(known.queried_at);
        (age <= oldest).then_some(known.count)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, PendingCount>> {
        // A count is written with one call, so a panic elsewhere leaves the map consistent.
        self.by_queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
