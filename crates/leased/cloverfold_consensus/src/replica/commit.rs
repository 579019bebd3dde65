//! Advances the commit index.
//!
//! A leader commits up to the highest index that a majority of the voters has synced, provided that entry is of its own term: an entry of
//! an earlier term is safe only once an entry of the leader's own term follows it. The leader counts itself only up to what its own disk
//! has synced. A follower commits up to the leader's commit index, as far as its log matches the leader's.

use cloverfold_base::Timestamp;

use super::Replica;
use crate::log_entries::LogIndex;
use crate::records::Record;

impl Replica {
    /// Commits what a majority has synced and informs the followers.
    pub(super) fn advance_commit(&mut self, now: Timestamp) {
        let Some(index) = self.find_majority_index() else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit_to(index);
        // Does not wait for the next heartbeat, so that followers apply the entries without delay.
        self.broadcast(now);
        self.step_down_if_removed(now);
    }

    /// Returns the highest index that a majority of the voters has synced.
    fn find_majority_index(&self) -> Option<LogIndex> {
        let members = self.members();
        let voters = members.voters.iter();
        let mut synced: Vec<LogIndex> = voters
            .map(|member| {
                if member.id == self.id {
                    return self.sync_progress.synced();
                }
                let progress = self.leader_state.progress.get(&member.id);
                progress.map_or(0, |progress| progress.match_index)
            })
            .collect();
        synced.sort_unstable();
        let position = synced.len().checked_sub(members.majority())?;
        synced.get(position).copied()
    }

    fn step_down_if_removed(&mut self, now: Timestamp) {
        let (index, members) = self.log.newest_members();
        if index <= self.commit && !members.contains(self.id) {
            self.become_follower(self.term, None, now);
        }
    }

    /// Returns whether this leader has committed an entry of its own term; before that, its commit index may be too low.
    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.term)
    }

    /// Raises the commit index; never lowers it.
    pub(super) fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            self.commit = index;
            self.commit_unrecorded_since.get_or_insert(self.now);
        }
    }

    /// Records the commit index together with other records, or alone once `commit_delay` has passed. The record lets a restarted replica
    /// apply these entries before it hears from a leader; no message waits for it.
    pub(super) fn record_commit(&mut self) {
        let Some(since) = self.commit_unrecorded_since else {
            return;
        };
        let is_due = self.now >= since + self.config.commit_delay;
        if is_due || !self.ready.records.is_empty() {
            self.commit_unrecorded_since = None;
            let index = self.commit;
            self.ready.records.push(Record::Commit { index });
        }
    }

    /// Moves committed entries that are not delivered yet to the ready batch.
    pub(super) fn deliver_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            self.ready.committed.push(entry);
        }
    }
}
