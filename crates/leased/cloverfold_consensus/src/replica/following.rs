//! How a follower replicates the log of its leader.
//!
//! Owns how far the log matches the present leader's and when a leader's message last arrived ([`FollowerState`]). It acknowledges only
//! what both matches and is synced.

use cloverfold_base::Timestamp;

use super::Replica;
use crate::log_entries::{Entry, LogIndex, Snapshot, Term};
use crate::members::ReplicaId;
use crate::messages::{AppendEntries, AppendReply, InstallSnapshot, Message};
use crate::records::Record;

/// What a follower records of its leader.
#[derive(Debug, Default)]
pub(super) struct FollowerState {
    /// When a leader's message last arrived.
    pub(super) last_leader_contact_at: Option<Timestamp>,
    /// The leader's newest round; acknowledgements echo it.
    round: u64,
    /// Last entry that is the same in the present leader's log.
    pub(super) matched: LogIndex,
    /// The parts of a snapshot that have come, in place of its whole state.
    pub(super) partial: Option<Snapshot>,
}

impl Replica {
    /// Follows the sender of a leader's message; refuses it if its term is over.
    pub(super) fn accept_leader(&mut self, from: ReplicaId, term: Term, now: Timestamp) -> bool {
        if term < self.term {
            self.refuse_entries(from, 0, 0);
            return false;
        }
        self.become_follower(term, Some(from), now);
        self.following.last_leader_contact_at = Some(now);
        true
    }

    pub(super) fn receive_append(
        &mut self,
        from: ReplicaId,
        append: AppendEntries,
        now: Timestamp,
    ) {
        if !self.accept_leader(from, append.term, now) {
            return;
        }
        self.following.round = append.round;
        let previous = append.previous_index;
        if !self.matches_at(previous, append.previous_term) {
            let index = self.log.last_index().min(previous.saturating_sub(1));
            self.refuse_entries(from, index, append.round);
            return;
        }
        let last_new = previous + append.entries.len() as u64;
        for entry in append.entries {
            self.store_entry(entry);
        }
        self.following.matched = self.following.matched.max(last_new);
        let known = append.commit.min(self.following.matched);
        self.commit_to(known.min(self.log.last_index()));
        self.acknowledge(from);
    }

    /// Returns whether the log has the leader's entry at `index`; what a snapshot contains is committed and the same everywhere.
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

    /// Removes all entries from `index` on: an earlier leader's that were never committed.
    fn truncate_log(&mut self, index: LogIndex) {
        self.log.truncate(index);
        self.ready.records.push(Record::Truncate { from: index });
        self.sync_progress.truncate(index);
    }

    pub(super) fn receive_snapshot(
        &mut self,
        from: ReplicaId,
        install: InstallSnapshot,
        now: Timestamp,
    ) {
        if !self.accept_leader(from, install.term, now) {
            return;
        }
        self.following.round = install.round;
        let index = install.snapshot.index;
        let has_entry = self.log.term_at(index) == Some(install.snapshot.term);
        if index > self.commit && has_entry {
            // Entries after it may already count as durable here: keep them.
            self.commit_to(index);
        } else if index > self.commit {
            self.restore_snapshot(install.snapshot);
        }
        self.following.partial = None;
        // What is committed is the same everywhere.
        self.following.matched = self.following.matched.max(index);
        self.acknowledge(from);
    }

    /// Acknowledges to the leader, if it is known, what has become synced.
    pub(super) fn acknowledge_synced(&mut self) {
        if let Some(leader) = self.leader {
            self.acknowledge(leader);
        }
    }

    /// Reports the last entry that is the leader's and synced here.
    fn acknowledge(&mut self, to: ReplicaId) {
        let reply = AppendReply {
            term: self.term,
            is_matching: true,
            index: self.following.matched.min(self.sync_progress.synced()),
            round: self.following.round,
        };
        self.send(to, Message::AppendReply(reply), false);
    }

    /// Refuses entries; the leader tries again after `index`.
    fn refuse_entries(&mut self, to: ReplicaId, index: LogIndex, round: u64) {
        let reply = AppendReply {
            term: self.term,
            is_matching: false,
            index,
            round,
        };
        self.send(to, Message::AppendReply(reply), false);
    }
}
