//! How a leader sends its log to the others.
//!
//! Owns, for each other replica, how far its log matches and what was sent ([`Progress`]). Entries are sent ahead of acknowledgements;
//! a replica that refuses them is sent earlier ones, and one that needs entries which the log no longer has is sent the snapshot.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use super::reads::PendingRead;
use super::{Replica, Role};
use crate::log_entries::{Entry, LogIndex, Payload};
use crate::members::ReplicaId;
use crate::messages::{AppendEntries, AppendReply, InstallSnapshot, Message};
use crate::records::Record;

/// Time after which a snapshot that was not acknowledged is sent again, for each of its parts. Chosen, not measured.
const SNAPSHOT_RESEND_AFTER: Duration = Duration::from_millis(1_000);

/// The state that only a leader uses.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// Since when this replica has led.
    pub(super) since: Timestamp,
    /// The other voters and the learners.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// When the newest round of messages was sent.
    pub(super) round_sent_at: Timestamp,
    /// Number of the newest round; never falls within the life of a replica.
    pub(super) round: u64,
    pub(super) reads: Vec<PendingRead>,
}

impl LeaderState {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            since: now,
            progress: BTreeMap::new(),
            round_sent_at: now,
            round: 0,
            reads: Vec::new(),
        }
    }
}

/// A leader's view of another replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Last entry that is synced there.
    pub(super) matching: LogIndex,
    /// First entry that was not sent yet.
    next: LogIndex,
    /// When it last answered.
    pub(super) last_reply_at: Option<Timestamp>,
    /// The newest round that it answered.
    pub(super) acked_round: u64,
    snapshot_sent_at: Option<Timestamp>,
}

impl Progress {
    fn new(next: LogIndex) -> Self {
        Self {
            matching: 0,
            next,
            last_reply_at: None,
            acked_round: 0,
            snapshot_sent_at: None,
        }
    }

    /// Records an answer; `last` is the last index of the leader's log.
    fn record_reply(&mut self, reply: &AppendReply, last: LogIndex, now: Timestamp) {
        self.last_reply_at = Some(now);
        self.acked_round = self.acked_round.max(reply.round);
        if !reply.is_matching {
            self.next = (reply.index + 1).min(self.next).max(1);
            return;
        }
        if reply.index > self.matching {
            self.snapshot_sent_at = None;
        }
        self.matching = self.matching.max(reply.index.min(last));
        self.next = self.next.max(self.matching + 1);
    }

    /// Returns whether entries should be sent at once: what was sent is acknowledged or refused, and there are more.
    fn wants_entries(&self, reply: &AppendReply, last: LogIndex) -> bool {
        let is_all_acknowledged = self.matching + 1 == self.next;
        self.next <= last && (!reply.is_matching || is_all_acknowledged)
    }

    fn is_snapshot_awaited(&self, parts: u32, now: Timestamp) -> bool {
        self.snapshot_sent_at
            .is_some_and(|at| now < at + SNAPSHOT_RESEND_AFTER * parts)
    }
}

impl Replica {
    /// Begins to track every replica that entries are sent to, and forgets the others.
    pub(super) fn track_progress(&mut self) {
        let next = self.log.last_index() + 1;
        let mut receivers = self.other_voters();
        receivers.extend(self.learners.keys().copied());
        let progress = &mut self.leading.progress;
        progress.retain(|id, _| receivers.contains(id));
        for id in receivers {
            progress.entry(id).or_insert_with(|| Progress::new(next));
        }
    }

    /// Records that the link to a replica was opened anew: what was sent over the old one may be lost.
    pub fn link_reopened(&mut self, id: ReplicaId) {
        if let Some(progress) = self.leading.progress.get_mut(&id) {
            progress.next = progress.matching + 1;
            progress.snapshot_sent_at = None;
        }
    }

    /// Appends an entry of this leader's term and sends it.
    pub(super) fn append_entry(&mut self, payload: Payload, now: Timestamp) -> LogIndex {
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

    /// Does a leader's work that has fallen due.
    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        if self.has_lost_quorum(now) {
            self.become_follower(self.term, None, now);
            return;
        }
        if now >= self.leading.round_sent_at + self.config.heartbeat_interval {
            self.broadcast(now);
        }
        self.manage_members(now);
    }

    /// Begins a round: sends every replica the entries that it lacks, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Timestamp) {
        self.leading.round_sent_at = now;
        self.leading.round += 1;
        let ids: Vec<ReplicaId> = self.leading.progress.keys().copied().collect();
        for id in ids {
            self.send_entries(id, now);
        }
    }

    fn send_entries(&mut self, id: ReplicaId, now: Timestamp) {
        let Some(progress) = self.leading.progress.get_mut(&id) else {
            return;
        };
        let previous = progress.next - 1;
        let Some(previous_term) = self.log.term_at(previous) else {
            self.send_snapshot(id, now);
            return;
        };
        let entries = self.log.after(previous, self.config.max_batch_entries);
        progress.next = previous + entries.len() as u64 + 1;
        let append = AppendEntries {
            term: self.term,
            previous_index: previous,
            previous_term,
            entries,
            commit: self.commit,
            round: self.leading.round,
        };
        self.send(id, Message::Append(append), false);
    }

    fn send_snapshot(&mut self, id: ReplicaId, now: Timestamp) {
        let parts = self.count_snapshot_parts();
        let Some(progress) = self.leading.progress.get_mut(&id) else {
            return;
        };
        if progress.is_snapshot_awaited(parts, now) {
            return;
        }
        progress.snapshot_sent_at = Some(now);
        if parts > 1 {
            self.send_snapshot_parts(id);
            return;
        }
        let install = InstallSnapshot {
            term: self.term,
            snapshot: self.log.snapshot.clone(),
            round: self.leading.round,
        };
        self.send(id, Message::InstallSnapshot(install), false);
    }

    pub(super) fn receive_append_reply(
        &mut self,
        from: ReplicaId,
        reply: &AppendReply,
        now: Timestamp,
    ) {
        if reply.term > self.term {
            self.become_follower(reply.term, None, now);
            return;
        }
        if self.role != Role::Leader || reply.term < self.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.leading.progress.get_mut(&from) else {
            return;
        };
        progress.record_reply(reply, last, now);
        if progress.wants_entries(reply, last) {
            self.send_entries(from, now);
        }
        self.advance_commit(now);
        self.confirm_reads();
    }
}
