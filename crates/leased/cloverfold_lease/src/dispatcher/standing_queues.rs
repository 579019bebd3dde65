//! Decision: which queues have stood too long for a long wait to help.
//!
//! A job that waits for longer is served if its queue is only the crest of a wave: the queue is empty again soon. If jobs come faster than
//! they can be served, a longer wait serves no more of them; all that are served have waited for as long as they may, and more
//! end late. A queue that has not been empty for [`STANDING_THRESHOLD`] counts as standing. So does one whose only job has waited for as long:
//! a job whose quarter is longer waits for [`STANDING_THRESHOLD`], or for its tenth if that is longer still.
//!
//! Owns since when each queue has had jobs that wait to begin ([`StandingQueues`]). Relies on the dispatcher to report them after each
//! pass over the queue.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// A queue that has had waiting jobs for so long stands.
const STANDING_THRESHOLD: Duration = Duration::from_millis(200);

/// Since when each queue has had jobs that wait to begin.
#[derive(Debug, Default)]
pub(super) struct StandingQueues {
    since: HashMap<String, Timestamp>,
}

impl StandingQueues {
    /// Records the queues that have waiting jobs now; all others are empty.
    pub(super) fn record<'a>(&mut self, waiting: impl Iterator<Item = &'a str>, now: Timestamp) {
        let mut previous = std::mem::take(&mut self.since);
        for queue in waiting {
            if !self.since.contains_key(queue) {
                let known = previous.remove_entry(queue);
                let (name, since) = known.unwrap_or_else(|| (queue.into(), now));
                self.since.insert(name, since);
            }
        }
    }

    /// Returns whether a queue stands.
    pub(super) fn is_standing(&self, queue: &str, now: Timestamp) -> bool {
        let since = self.since.get(queue);
        since.is_some_and(|since| now >= *since + STANDING_THRESHOLD)
    }
}
