//! Log replication on a follower.
//!
//! A follower acknowledges only entries that both match the leader's log and are synced.

use cloverfold_base::Timestamp;

use super::Replica;
use crate::log_entries::{Entry, LogIndex, Snapshot, Term};
use crate::members::ReplicaId;
use crate::messages::{AppendEntries, AppendReply, InstallSnapshot, Message};
use crate::records::Record;

/// State that only a follower uses.
#[derive(Debug, Default)]
pub(super) struct FollowerState {
    /// When the last message of a leader arrived.
    pub(super) last_leader_contact_at: Option<Timestamp>,
    /// The leader's newest round, echoed in acknowledgements.
    round: u64,
    /// Index of the last entry known to match the current leader's log.
    pub(super) match_index: LogIndex,
    /// A snapshot whose state holds the parts received so far.
    pub(super) partial_snapshot: Option<Snapshot>,
}

impl Replica {
    /// Follows the sender of a leader's message and returns `true`, or rejects the message if its term is outdated.
    pub(super) fn accept_leader(&mut self, from: ReplicaId, term: Term, now: Timestamp) -> bool {
        if term < self.term {
            self.reject_entries(from, 0, 0);
            return false;
        }
        self.become_follower(term, Some(from), now);
        self.follower_state.last_leader_contact_at = Some(now);
        true
    }

    pub(super) fn handle_append(&mut self, from: ReplicaId, append: AppendEntries, now: Timestamp) {
        if !self.accept_leader(from, append.term, now) {
            return;
        }
        self.follower_state.round = append.round;
        let previous = append.previous_index;
        if !self.matches_at(previous, append.previous_term) {
            let index = self.log.last_index().min(previous.saturating_sub(1));
            self.reject_entries(from, index, append.round);
            return;
        }
        let last_new = previous + append.entries.len() as u64;
        for entry in append.entries {
            self.store_entry(entry);
        }
        self.follower_state.match_index = self.follower_state.match_index.max(last_new);
        let commit = append.commit.min(self.follower_state.match_index);
        self.commit_to(commit.min(self.log.last_index()));
        self.acknowledge(from);
    }

    /// Returns whether the log contains the leader's entry at `index`. Entries covered by the snapshot are committed and always match.
    fn matches_at(&self, index: LogIndex, term: Term) -> bool {
        index < self.log.snapshot.index || self.log.term_at(index) == Some(term)
    }

    fn store_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot.index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_log(entry.index),
            None => {}
        }
        self.ready.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    /// Removes all entries from `index` on, which an earlier leader appended and never committed.
    fn truncate_log(&mut self, index: LogIndex) {
        self.log.truncate(index);
        self.ready.records.push(Record::Truncate { from: index });
        self.sync_progress.truncate(index);
    }

    pub(super) fn handle_snapshot(
        &mut self,
        from: ReplicaId,
        install: InstallSnapshot,
        now: Timestamp,
    ) {
        if !self.accept_leader(from, install.term, now) {
            return;
        }
        self.follower_state.round = install.round;
        let index = install.snapshot.index;
        let has_entry = self.log.term_at(index) == Some(install.snapshot.term);
        if index > self.commit && has_entry {
            // Keeps the entries after the snapshot: this replica may already have acknowledged them.
            self.commit_to(index);
        } else if index > self.commit {
            self.restore_snapshot(install.snapshot);
        }
        self.follower_state.partial_snapshot = None;
        // The snapshot covers only committed entries, which match on every replica.
        self.follower_state.match_index = self.follower_state.match_index.max(index);
        self.acknowledge(from);
    }

    /// Acknowledges newly synced entries to the leader, if it is known.
    pub(super) fn acknowledge_synced(&mut self) {
        if let Some(leader) = self.leader {
            self.acknowledge(leader);
        }
    }

    /// Reports the last entry that matches the leader's log and is synced.
    fn acknowledge(&mut self, to: ReplicaId) {
        let reply = AppendReply {
            term: self.term,
            is_matching: true,
            index: self
                .follower_state
                .match_index
                .min(self.sync_progress.synced()),
            round: self.follower_state.round,
        };
        self.send(to, Message::AppendReply(reply), false);
    }

    /// Rejects entries; the leader retries with the entries after `index`.
    fn reject_entries(&mut self, to: ReplicaId, index: LogIndex, round: u64) {
        let reply = AppendReply {
            term: self.term,
            is_matching: false,
            index,
            round,
        };
        self.send(to, Message::AppendReply(reply), false);
    }
}
