//! Decision: when a leader may answer a read.
//!
//! Rule: a read records the committed index and begins a new round of messages; it succeeds once a majority of the voters has answered
//! that round or a later one. It fails if this replica does not lead, stops leading, or has not committed in its term yet.
//!
//! Inputs: for each voter the last round that it answered.
//!
//! Reason: only an answer to a message sent after the read began proves that no later leader had committed anything before.

use cloverfold_base::Timestamp;

use super::ready::{ReadOutcome, ReadToken};
use super::{Replica, Role};
use crate::log_entries::LogIndex;

/// A read that waits for the proof that this replica still leads.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    token: ReadToken,
    /// What was committed when the read began.
    index: LogIndex,
    /// The round that a majority must answer.
    round: u64,
}

impl Replica {
    /// Begins a read; its outcome comes in a later [`Ready`](crate::Ready) under the same token.
    pub fn begin_read(&mut self, token: ReadToken, now: Timestamp) {
        if self.role != Role::Leader || !self.has_committed_in_term() {
            let index = None;
            self.ready.reads.push(ReadOutcome { token, index });
            return;
        }
        self.broadcast(now);
        self.leading.reads.push(PendingRead {
            token,
            index: self.commit,
            round: self.leading.round,
        });
        self.confirm_reads();
    }

    /// Ends the reads whose round a majority has answered.
    pub(super) fn confirm_reads(&mut self) {
        let pending = std::mem::take(&mut self.leading.reads);
        let (proved, pending): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|read| self.has_majority_answered(read.round));
        self.leading.reads = pending;
        let outcomes = proved.into_iter().map(|read| ReadOutcome {
            token: read.token,
            index: Some(read.index),
        });
        self.ready.reads.extend(outcomes);
    }

    fn has_majority_answered(&self, round: u64) -> bool {
        let members = self.members();
        let answered = members.voters.iter().filter(|member| {
            let progress = self.leading.progress.get(&member.id);
            member.id == self.id || progress.is_some_and(|progress| progress.acked_round >= round)
        });
        answered.count() >= members.majority()
    }

    /// Fails all pending reads, since this replica no longer leads.
    pub(super) fn fail_reads(&mut self) {
        let failed = std::mem::take(&mut self.leading.reads).into_iter();
        let outcomes = failed.map(|read| ReadOutcome {
            token: read.token,
            index: None,
        });
        self.ready.reads.extend(outcomes);
    }
}
