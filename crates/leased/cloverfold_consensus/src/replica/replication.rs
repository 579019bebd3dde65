//! Log replication on a leader.
//!
//! The leader tracks the [`Progress`] of each other replica and pipelines entries without waiting for acknowledgements. After a rejection
//! it goes back to earlier entries; a replica that needs compacted entries receives the snapshot.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use super::reads::PendingRead;
use super::{Replica, Role};
use crate::log_entries::{Entry, LogIndex, Payload};
use crate::members::ReplicaId;
use crate::messages::{AppendEntries, AppendReply, InstallSnapshot, Message};
use crate::records::Record;

/// Time after which the leader resends an unacknowledged snapshot, per part.
const SNAPSHOT_RESEND_AFTER: Duration = Duration::from_millis(1_000);

/// State that only a leader uses.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// When this replica became leader.
    pub(super) since: Timestamp,
    /// Progress of the other voters and the learners.
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// When the newest round of messages was sent.
    pub(super) round_sent_at: Timestamp,
    /// Number of the newest round; never decreases over the lifetime of a replica.
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

/// The replication progress of another replica, as its leader knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Index of the last entry that the replica has synced.
    pub(super) match_index: LogIndex,
    /// Index of the next entry to send.
    next_index: LogIndex,
    /// When the replica last replied.
    pub(super) last_reply_at: Option<Timestamp>,
    /// The newest round that the replica acknowledged.
    pub(super) acked_round: u64,
    snapshot_sent_at: Option<Timestamp>,
}

impl Progress {
    fn new(next_index: LogIndex) -> Self {
        Self {
            match_index: 0,
            next_index,
            last_reply_at: None,
            acked_round: 0,
            snapshot_sent_at: None,
        }
    }

    /// Records a reply; `last` is the last index of the leader's log.
    fn record_reply(&mut self, reply: &AppendReply, last: LogIndex, now: Timestamp) {
        self.last_reply_at = Some(now);
        self.acked_round = self.acked_round.max(reply.round);
        if !reply.is_matching {
            self.next_index = (reply.index + 1).min(self.next_index).max(1);
            return;
        }
        if reply.index > self.match_index {
            self.snapshot_sent_at = None;
        }
        self.match_index = self.match_index.max(reply.index.min(last));
        self.next_index = self.next_index.max(self.match_index + 1);
    }

    /// Returns whether to send more entries right after a reply: everything sent is acknowledged or rejected, and the log has more.
    fn should_send_entries(&self, reply: &AppendReply, last: LogIndex) -> bool {
        let is_all_acknowledged = self.match_index + 1 == self.next_index;
        self.next_index <= last && (!reply.is_matching || is_all_acknowledged)
    }

    fn is_snapshot_in_flight(&self, parts: u32, now: Timestamp) -> bool {
        self.snapshot_sent_at
            .is_some_and(|at| now < at + SNAPSHOT_RESEND_AFTER * parts)
    }
}

impl Replica {
    /// Tracks the progress of all other voters and the learners, and drops that of replicas that are neither.
    pub(super) fn track_progress(&mut self) {
        let next = self.log.last_index() + 1;
        let mut receivers = self.other_voters();
        receivers.extend(self.learners.keys().copied());
        let progress = &mut self.leader_state.progress;
        progress.retain(|id, _| receivers.contains(id));
        for id in receivers {
            progress.entry(id).or_insert_with(|| Progress::new(next));
        }
    }

    /// Resends unacknowledged entries to a replica whose link was reopened, because messages on the old link may be lost.
    pub fn link_reopened(&mut self, id: ReplicaId) {
        if let Some(progress) = self.leader_state.progress.get_mut(&id) {
            progress.next_index = progress.match_index + 1;
            progress.snapshot_sent_at = None;
        }
    }

    /// Appends an entry in the current term and sends it to the other replicas.
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

    pub(super) fn tick_leader(&mut self, now: Timestamp) {
        if self.has_lost_quorum(now) {
            self.become_follower(self.term, None, now);
            return;
        }
        if now >= self.leader_state.round_sent_at + self.config.heartbeat_interval {
            self.broadcast(now);
        }
        self.update_membership(now);
    }

    /// Starts a new round: sends every other replica the entries that it lacks, or a heartbeat.
    pub(super) fn broadcast(&mut self, now: Timestamp) {
        self.leader_state.round_sent_at = now;
        self.leader_state.round += 1;
        let ids: Vec<ReplicaId> = self.leader_state.progress.keys().copied().collect();
        for id in ids {
            self.send_entries(id, now);
        }
    }

    fn send_entries(&mut self, id: ReplicaId, now: Timestamp) {
        let Some(progress) = self.leader_state.progress.get_mut(&id) else {
            return;
        };
        let previous = progress.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous) else {
            self.send_snapshot(id, now);
            return;
        };
        let entries = self
            .log
            .entries_after(previous, self.config.max_batch_entries);
        progress.next_index = previous + entries.len() as u64 + 1;
        let append = AppendEntries {
            term: self.term,
            previous_index: previous,
            previous_term,
            entries,
            commit: self.commit,
            round: self.leader_state.round,
        };
        self.send(id, Message::Append(append), false);
    }

    fn send_snapshot(&mut self, id: ReplicaId, now: Timestamp) {
        let parts = self.count_snapshot_parts();
        let Some(progress) = self.leader_state.progress.get_mut(&id) else {
            return;
        };
        if progress.is_snapshot_in_flight(parts, now) {
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
            round: self.leader_state.round,
        };
        self.send(id, Message::InstallSnapshot(install), false);
    }

    pub(super) fn handle_append_reply(
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
        let Some(progress) = self.leader_state.progress.get_mut(&from) else {
            return;
        };
        progress.record_reply(reply, last, now);
        if progress.should_send_entries(reply, last) {
            self.send_entries(from, now);
        }
        self.advance_commit(now);
        self.confirm_reads();
    }
}
