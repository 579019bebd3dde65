//! Detection of standing queues, in which a longer wait does not help.
//!
//! In a short backlog, a job that waits longer is eventually served. If jobs arrive faster than they can be served, longer waits serve no
//! more jobs: every served job has then waited for as long as allowed, and more jobs miss their objective. A queue counts as standing if it
//! has not been empty for [`STANDING_THRESHOLD`], even if the same job waited all the time. Jobs of standing queues have a shorter queue
//! deadline (`deadlines`).
//!
//! The dispatcher reports the queues after each pass.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// Time without being empty after which a queue counts as standing.
const STANDING_THRESHOLD: Duration = Duration::from_millis(200);

/// Tracks since when each queue has had jobs that wait to start.
#[derive(Debug, Default)]
pub(super) struct StandingQueues {
    nonempty_since: HashMap<String, Timestamp>,
}

impl StandingQueues {
    /// Records the queues that currently have waiting jobs; all others are empty.
    pub(super) fn record<'a>(&mut self, waiting: impl Iterator<Item = &'a str>, now: Timestamp) {
        let mut previous = std::mem::take(&mut self.nonempty_since);
        let mut latest = None;
        for queue in waiting {
            // Most jobs are of the same queue as the one before, which saves the look-up.
            if latest.replace(queue) == Some(queue) {
                continue;
            }
            if !self.nonempty_since.contains_key(queue) {
                let known = previous.remove_entry(queue);
                let (name, since) = known.unwrap_or_else(|| (queue.into(), now));
                self.nonempty_since.insert(name, since);
            }
        }
    }

    /// Returns whether a queue counts as standing.
    pub(super) fn is_standing(&self, queue: &str, now: Timestamp) -> bool {
        let since = self.nonempty_since.get(queue);
        since.is_some_and(|since| now >= *since + STANDING_THRESHOLD)
    }
}
