//! Linearizable reads.
//!
//! A read records the commit index and starts a new round of messages. It succeeds once a majority of the voters has replied to that
//! round or a later one: only a reply to a message sent after the read began proves that no later leader had committed entries by then.
//! A read fails if this replica does not lead, steps down, or has not committed an entry in its term.

use cloverfold_base::Timestamp;

use super::ready::{ReadOutcome, ReadToken};
use super::{Replica, Role};
use crate::log_entries::LogIndex;

/// A read that waits for confirmation that this replica still leads.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    token: ReadToken,
    /// The commit index when the read began.
    index: LogIndex,
    /// The round that a majority must acknowledge.
    round: u64,
}

impl Replica {
    /// Starts a read. A later [`Ready`](crate::Ready) batch holds its outcome under the same token.
    pub fn begin_read(&mut self, token: ReadToken, now: Timestamp) {
        if self.role != Role::Leader || !self.has_committed_in_term() {
            let index = None;
            self.ready.reads.push(ReadOutcome { token, index });
            return;
        }
        self.broadcast(now);
        self.leader_state.reads.push(PendingRead {
            token,
            index: self.commit,
            round: self.leader_state.round,
        });
        self.confirm_reads();
    }

    /// Completes the reads whose round a majority has acknowledged.
    pub(super) fn confirm_reads(&mut self) {
        let pending = std::mem::take(&mut self.leader_state.reads);
        let (confirmed, pending): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|read| self.has_majority_acked(read.round));
        self.leader_state.reads = pending;
        let outcomes = confirmed.into_iter().map(|read| ReadOutcome {
            token: read.token,
            index: Some(read.index),
        });
        self.ready.reads.extend(outcomes);
    }

    fn has_majority_acked(&self, round: u64) -> bool {
        let members = self.members();
        let acked = members.voters.iter().filter(|member| {
            let progress = self.leader_state.progress.get(&member.id);
            member.id == self.id || progress.is_some_and(|progress| progress.acked_round >= round)
        });
        acked.count() >= members.majority()
    }

    /// Fails all pending reads because this replica no longer leads.
    pub(super) fn fail_reads(&mut self) {
        let failed = std::mem::take(&mut self.leader_state.reads).into_iter();
        let outcomes = failed.map(|read| ReadOutcome {
            token: read.token,
            index: None,
        });
        self.ready.reads.extend(outcomes);
    }
}
