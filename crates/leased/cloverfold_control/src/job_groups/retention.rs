//! Retention of ended jobs.
//!
//! A leader removes an ended job once it has known of the end for the retention period, during which callers of the job get the same reply.
//! It measures the period with its monotonic clock, so steps of the wall clock have no effect. A new leader starts the period again at its
//! election, which can only prolong it.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::EndSequence;

/// Resolution of the recorded times; limits removal to one command per second.
const TIME_RESOLUTION: Duration = Duration::from_secs(1);

/// The times at which the leader learned of ended jobs.
#[derive(Debug, Default)]
pub(super) struct JobRetention {
    /// Pairs of a sequence number and the time by which all ends up to it were known, in order.
    seen: VecDeque<(EndSequence, Timestamp)>,
    newest: EndSequence,
}

impl JobRetention {
    /// Records the sequence number of the newest end.
    pub(super) fn observe(&mut self, last_end: EndSequence, now: Timestamp) {
        let last = self.seen.back();
        let is_due = last.is_none_or(|(_, at)| now >= *at + TIME_RESOLUTION);
        if last_end > self.newest && is_due {
            self.newest = last_end;
            self.seen.push_back((last_end, now));
        }
    }

    /// Takes the sequence number up to which all ends have exceeded the retention period.
    pub(super) fn take_due(&mut self, retention: Duration, now: Timestamp) -> Option<EndSequence> {
        let mut due = None;
        while let Some((end, _)) = self.seen.pop_front_if(|(_, at)| now >= *at + retention) {
            due = Some(end);
        }
        due
    }
}
