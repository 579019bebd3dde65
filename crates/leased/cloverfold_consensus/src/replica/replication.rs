//! How entries reach the others and become committed.

use std::time::Duration;

use crate::log_entries::{Entry, LogIndex, Payload};
use crate::members::ReplicaId;
use crate::messages::{Append, AppendReply, InstallSnapshot, Message};
use crate::replica::{Moment, Replica, Role};
use crate::store::Record;

/// How long a snapshot under way is waited for before it is sent again.
const SNAPSHOT_PATIENCE: Duration = Duration::from_millis(1_000);

/// What a leader knows of another replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Last place that is synced there.
    pub(crate) matching: LogIndex,
    /// First place that was not sent yet.
    next: LogIndex,
    pub(crate) heard_at: Option<Moment>,
    pub(crate) acked_round: u64,
    snapshot_sent_at: Option<Moment>,
}

impl Replica {
    /// Begins to track everybody that entries go to, and forgets the others.
    pub(super) fn track_progress(&mut self) {
        let next = self.log.last_index() + 1;
        let mut meant = self.other_voters();
        meant.extend(self.learners.keys().copied());
        self.progress.retain(|id, _| meant.contains(id));
        for id in meant {
            self.progress.entry(id).or_insert(Progress {
                matching: 0,
                next,
                heard_at: None,
                acked_round: 0,
                snapshot_sent_at: None,
            });
        }
    }

    /// Says that the link to a replica is new: what was under way may be lost.
    pub fn link_reopened(&mut self, id: ReplicaId) {
        if let Some(progress) = self.progress.get_mut(&id) {
            progress.next = progress.matching + 1;
            progress.snapshot_sent_at = None;
        }
    }

    pub(super) fn append_entry(&mut self, payload: Payload, now: Moment) -> LogIndex {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        };
        let index = entry.index;
        self.ready.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
        self.track_progress();
        self.broadcast(now);
        index
    }

    /// Sends everybody what it lacks, or a sign of life.
    pub(super) fn broadcast(&mut self, now: Moment) {
        self.heartbeat_at = now;
        self.round += 1;
        let ids: Vec<ReplicaId> = self.progress.keys().copied().collect();
        for id in ids {
            self.send_entries(id, now);
        }
    }

    fn send_entries(&mut self, id: ReplicaId, now: Moment) {
        let batch = self.config.batch;
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        let previous = progress.next - 1;
        let Some(previous_term) = self.log.term_at(previous) else {
            self.send_snapshot(id, now);
            return;
        };
        let entries = self.log.after(previous, batch);
        progress.next = previous + entries.len() as u64 + 1;
        let append = Append {
            term: self.term,
            previous_index: previous,
            previous_term,
            entries,
            commit: self.commit,
            round: self.round,
        };
        self.send(id, Message::Append(append), false);
    }

    fn send_snapshot(&mut self, id: ReplicaId, now: Moment) {
        let Some(progress) = self.progress.get_mut(&id) else {
            return;
        };
        if progress
            .snapshot_sent_at
            .is_some_and(|at| now < at + SNAPSHOT_PATIENCE)
        {
            return;
        }
        progress.snapshot_sent_at = Some(now);
        let install = InstallSnapshot {
            term: self.term,
            snapshot: self.log.snapshot.clone(),
            round: self.round,
        };
        self.send(id, Message::InstallSnapshot(install), false);
    }

    /// Accepts a leader's message if its term is not over.
    fn accept_leader(&mut self, from: ReplicaId, term: u64, now: Moment) -> bool {
        if term < self.term {
            let reply = AppendReply {
                term: self.term,
                is_matching: false,
                index: 0,
                round: 0,
            };
            self.send(from, Message::AppendReply(reply), false);
            return false;
        }
        self.follow(term, Some(from), now);
        self.heard_leader_at = Some(now);
        true
    }

    pub(super) fn receive_append(&mut self, from: ReplicaId, append: Append, now: Moment) {
        if !self.accept_leader(from, append.term, now) {
            return;
        }
        self.followed_round = append.round;
        let previous = append.previous_index;
        let is_matching = previous < self.log.snapshot.index
            || self.log.term_at(previous) == Some(append.previous_term);
        if !is_matching {
            let reply = AppendReply {
                term: self.term,
                is_matching: false,
                index: self.log.last_index().min(previous.saturating_sub(1)),
                round: append.round,
            };
            self.send(from, Message::AppendReply(reply), false);
            return;
        }
        let last_new = previous + append.entries.len() as u64;
        for entry in append.entries {
            self.store_entry(entry);
        }
        self.matched = self.matched.max(last_new);
        let known = append.commit.min(self.matched);
        self.commit_to(known.min(self.log.last_index()));
        self.reply_matching(from);
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

    fn truncate_log(&mut self, index: LogIndex) {
        self.log.truncate(index);
        self.ready.records.push(Record::Truncate { from: index });
        self.synced = self.synced.min(index - 1);
        for batch in self.unsynced.values_mut() {
            batch.last_index = batch.last_index.min(index - 1);
        }
    }

    /// Tells the leader up to where its entries are synced here.
    fn reply_matching(&mut self, to: ReplicaId) {
        let reply = AppendReply {
            term: self.term,
            is_matching: true,
            index: self.matched.min(self.synced),
            round: self.followed_round,
        };
        self.send(to, Message::AppendReply(reply), false);
    }

    pub(super) fn acknowledge_synced(&mut self) {
        if let Some(leader) = self.leader {
            self.reply_matching(leader);
        }
    }

    pub(super) fn receive_snapshot(
        &mut self,
        from: ReplicaId,
        install: InstallSnapshot,
        now: Moment,
    ) {
        if !self.accept_leader(from, install.term, now) {
            return;
        }
        self.followed_round = install.round;
        let index = install.snapshot.index;
        let is_held = self.log.term_at(index) == Some(install.snapshot.term);
        if index > self.commit && is_held {
            // Entries after it may already count as durable here: keep them.
            self.commit_to(index);
        } else if index > self.commit {
            self.adopt_snapshot(install.snapshot);
        }
        // What is committed is the same everywhere.
        self.matched = self.matched.max(index);
        self.reply_matching(from);
    }

    pub(super) fn receive_append_reply(
        &mut self,
        from: ReplicaId,
        reply: &AppendReply,
        now: Moment,
    ) {
        if reply.term > self.term {
            self.follow(reply.term, None, now);
            return;
        }
        if self.role != Role::Leader || reply.term < self.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = Some(now);
        progress.acked_round = progress.acked_round.max(reply.round);
        if reply.is_matching {
            if reply.index > progress.matching {
                progress.snapshot_sent_at = None;
            }
            progress.matching = progress.matching.max(reply.index.min(last));
            progress.next = progress.next.max(progress.matching + 1);
        } else {
            progress.next = (reply.index + 1).min(progress.next).max(1);
        }
        let has_more =
            progress.next <= last && (!reply.is_matching || progress.matching + 1 == progress.next);
        if has_more {
            self.send_entries(from, now);
        }
        self.advance_commit(now);
        self.confirm_reads();
    }

    /// Commits what a majority has synced, if it is of this term.
    pub(super) fn advance_commit(&mut self, now: Moment) {
        let members = self.members();
        let mut places: Vec<LogIndex> = members
            .voters
            .iter()
            .map(|member| match self.progress.get(&member.id) {
                _ if member.id == self.id => self.synced,
                Some(progress) => progress.matching,
                None => 0,
            })
            .collect();
        places.sort_unstable();
        let Some(&place) = places
            .len()
            .checked_sub(members.majority())
            .and_then(|i| places.get(i))
        else {
            return;
        };
        if place <= self.commit || self.log.term_at(place) != Some(self.term) {
            return;
        }
        self.commit_to(place);
        // Followers learn of it at once, so that it is in force soon.
        self.broadcast(now);
        self.leave_if_removed(now);
    }

    fn leave_if_removed(&mut self, now: Moment) {
        let (index, members) = self.log.newest_members();
        if index <= self.commit && !members.contains(self.id) {
            self.follow(self.term, None, now);
        }
    }

    pub(super) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit) == Some(self.term)
    }
}
