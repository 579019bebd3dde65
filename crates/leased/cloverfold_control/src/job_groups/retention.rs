//! Decision: when an ended job is forgotten.
//!
//! Rule: once the leader has known for `status` that it had ended. A new leader counts from its election. Inputs: the number of the
//! newest end, the steady clock of the leader. Reason: the caller of a job gets the same answer for that long; no wall clock can step
//! over it, and a change of leader only makes it longer.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::EndSequence;

/// Ends within this span are forgotten together. Chosen, not measured: one command a second at most.
const STEP: Duration = Duration::from_secs(1);

/// When the leader saw which ends.
#[derive(Debug, Default)]
pub(super) struct JobRetention {
    /// All ends up to this number had come at this time; in order.
    seen: VecDeque<(EndSequence, Timestamp)>,
    newest: EndSequence,
}

impl JobRetention {
    /// Records the number of the newest end.
    pub(super) fn observe(&mut self, last_end: EndSequence, now: Timestamp) {
        let last = self.seen.back();
        let is_due = last.is_none_or(|(_, at)| now >= *at + STEP);
        if last_end > self.newest && is_due {
            self.newest = last_end;
            self.seen.push_back((last_end, now));
        }
    }

    /// Takes the number up to which all ends are to be forgotten by now.
    pub(super) fn take_due(&mut self, retention: Duration, now: Timestamp) -> Option<EndSequence> {
        let mut due = None;
        while let Some((end, _)) = self.seen.pop_front_if(|(_, at)| now >= *at + retention) {
            due = Some(end);
        }
        due
    }
}
