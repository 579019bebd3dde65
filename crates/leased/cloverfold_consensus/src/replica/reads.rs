//! Reads that prove that they are the newest.

use std::time::Duration;

use crate::log_entries::LogIndex;
use crate::replica::{Moment, Replica, Role};

/// A read that waits for the proof that this replica still leads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    token: u64,
    index: LogIndex,
    round: u64,
}

impl Replica {
    /// Begins a read; its outcome comes with a later [`crate::Ready`] under the same token.
    pub fn begin_read(&mut self, token: u64, now: Moment) {
        if self.role != Role::Leader || !self.has_committed_in_term() {
            self.ready.reads.push((token, None));
            return;
        }
        self.broadcast(now);
        self.reads.push(PendingRead {
            token,
            index: self.commit,
            round: self.round,
        });
        self.confirm_reads();
    }

    pub(super) fn confirm_reads(&mut self) {
        let members = self.members();
        let majority = members.majority();
        let is_proved = |read: &PendingRead| {
            let acked = members.voters.iter().filter(|member| {
                member.id == self.id
                    || self
                        .progress
                        .get(&member.id)
                        .is_some_and(|p| p.acked_round >= read.round)
            });
            acked.count() >= majority
        };
        let (proved, open): (Vec<_>, Vec<_>) = self.reads.iter().copied().partition(is_proved);
        self.reads = open;
        let answers = proved
            .into_iter()
            .map(|read| (read.token, Some(read.index)));
        self.ready.reads.extend(answers);
    }

    pub(super) fn fail_reads(&mut self) {
        let failed = std::mem::take(&mut self.reads).into_iter();
        self.ready
            .reads
            .extend(failed.map(|read| (read.token, None)));
    }

    /// Counts the voters, this one included, that were heard of within `span`.
    pub(super) fn count_recently_heard(&self, span: Duration, now: Moment) -> usize {
        let is_heard = |id| {
            id == self.id
                || self
                    .progress
                    .get(&id)
                    .and_then(|progress| progress.heard_at)
                    .is_some_and(|at| now < at + span)
        };
        let voters = self.members().voters.iter();
        voters.filter(|member| is_heard(member.id)).count()
    }

    pub(super) fn has_lost_quorum(&self, now: Moment) -> bool {
        let span = self.config.election_max * 2;
        now > self.led_since + span
            && self.count_recently_heard(span, now) < self.members().majority()
    }
}
