//! The state machine of one replica.
//!
//! The caller passes messages, synced batches and ticks to a [`Replica`] and takes [`Ready`] batches, which say what to write, send and
//! apply. The replica itself performs no I/O and reads no clock.
//!
//! | module | responsibility |
//! |---|---|
//! | `config` | parameters |
//! | `election_timer`, `election`, `transitions` | leader election and role changes |
//! | `replication`, `follower`, `snapshot_parts` | replication of entries and snapshots |
//! | `commit`, `quorum`, `reads` | commit index, quorum checks and linearizable reads |
//! | `membership` | changes of the voters |
//! | `compaction` | bootstrap and log compaction |
//! | `sync_progress` | the synced part of the log |
//! | `ready`, `status` | output to the caller |

mod commit;
mod compaction;
mod config;
mod election;
mod election_timer;
mod follower;
mod membership;
mod quorum;
mod reads;
mod ready;
mod replication;
mod snapshot_parts;
mod status;
mod sync_progress;
mod transitions;

use std::collections::BTreeMap;

use cloverfold_base::Timestamp;

pub use self::config::ReplicaConfig;
pub use self::ready::{BatchNumber, OutgoingMessage, ReadOutcome, ReadToken, Ready};
pub use self::status::{ReplicaStatus, Role};

use self::election_timer::ElectionTimer;
use self::follower::FollowerState;
use self::replication::LeaderState;
use self::sync_progress::SyncProgress;
use crate::log_entries::{Log, LogIndex, Payload, Term};
use crate::members::{Member, Members, ReplicaId};
use crate::messages::Message;
use crate::records::{Record, RecoveredState};

/// An error of [`Replica::propose`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica does not lead. Holds the leader, if it is known.
    #[error("this replica does not lead")]
    NotLeader(Option<ReplicaId>),
}

/// One replica of a replicated log.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    config: ReplicaConfig,
    term: Term,
    voted_for: Option<ReplicaId>,
    log: Log,
    /// Index of the last entry known to be committed.
    commit: LogIndex,
    /// Since when the commit index is ahead of the recorded one; `None` if it is not.
    commit_unrecorded_since: Option<Timestamp>,
    /// Index of the last entry delivered in a [`Ready`] batch.
    applied: LogIndex,
    sync_progress: SyncProgress,
    role: Role,
    leader: Option<ReplicaId>,
    election_timer: ElectionTimer,
    /// Replicas that granted the current vote or pre-vote, including this one.
    votes: Vec<ReplicaId>,
    follower_state: FollowerState,
    leader_state: LeaderState,
    /// Replicas added as learners; some may have become voters since.
    learners: BTreeMap<ReplicaId, Member>,
    /// The time of the newest tick, message or sync.
    now: Timestamp,
    ready: Ready,
}

impl Replica {
    /// Creates a replica from the state that the store recovered. A replica with an empty log belongs to no group yet. `seed` seeds the
    /// random election timeouts.
    pub fn new(
        id: ReplicaId,
        config: ReplicaConfig,
        state: RecoveredState,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let snapshot_index = state.snapshot.index;
        let restored = (snapshot_index > 0).then(|| state.snapshot.clone());
        let log = Log::new(state.snapshot, state.entries);
        let last_index = log.last_index();
        Self {
            id,
            config,
            term: state.term,
            voted_for: state.voted_for,
            log,
            commit: state.commit.clamp(snapshot_index, last_index),
            commit_unrecorded_since: None,
            applied: snapshot_index,
            sync_progress: SyncProgress::new(last_index),
            role: Role::Follower,
            leader: None,
            election_timer: ElectionTimer::new(&config, seed, now),
            votes: Vec::new(),
            follower_state: FollowerState::default(),
            leader_state: LeaderState::new(now),
            learners: BTreeMap::new(),
            now,
            ready: Ready {
                restored,
                ..Ready::default()
            },
        }
    }

    /// Performs due work, such as heartbeats and elections. Must be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = now;
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else {
            self.start_election_if_due(now);
        }
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        self.now = now;
        match message {
            Message::Vote(vote) => self.handle_vote_request(from, &vote, now),
            Message::VoteReply(reply) => self.handle_vote_reply(from, &reply, now),
            Message::Append(append) => self.handle_append(from, append, now),
            Message::AppendReply(reply) => self.handle_append_reply(from, &reply, now),
            Message::InstallSnapshot(install) => self.handle_snapshot(from, install, now),
            Message::SnapshotPart(part) => self.handle_snapshot_part(from, part, now),
        }
    }

    /// Appends a command if this replica leads, and returns its index. The command is not committed yet, and may never be.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] if this replica does not lead.
    pub fn propose(&mut self, command: Vec<u8>, now: Timestamp) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        Ok(self.append_entry(Payload::Command(command), now))
    }

    /// Takes the pending output. Must be called after every other call that changes the replica.
    pub fn take_ready(&mut self) -> Ready {
        self.deliver_committed();
        self.record_commit();
        let mut ready = std::mem::take(&mut self.ready);
        if !ready.records.is_empty() {
            let last_index = self.log.last_index();
            ready.batch = Some(self.sync_progress.begin_batch(last_index, self.now));
        }
        ready
    }

    /// Records that a batch and all earlier ones are synced.
    pub fn mark_synced(&mut self, batch: BatchNumber, now: Timestamp) {
        let log_end = self.log.last_index();
        let Some(sync_time) = self.sync_progress.finish_batch(batch, log_end, now) else {
            return;
        };
        self.now = now;
        self.election_timer.record_sync_time(sync_time);
        if self.role == Role::Leader {
            self.advance_commit(now);
        } else {
            // Messages that waited for this sync are sent only now, so their receivers need time to reply.
            self.election_timer.restart(now);
            self.acknowledge_synced();
        }
    }

    /// Returns the status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            id: self.id,
            role: self.role,
            term: self.term,
            leader: self.leader,
            members: self.members().clone(),
            last_index: self.log.last_index(),
            commit: self.commit,
        }
    }

    /// Returns the newest members in the log, committed or not. A membership change takes effect when it is appended.
    pub fn members(&self) -> &Members {
        self.log.newest_members().1
    }

    /// Returns the newest members in the log if they are known to be committed.
    pub fn committed_members(&self) -> Option<&Members> {
        let (index, members) = self.log.newest_members();
        (index <= self.commit).then_some(members)
    }

    fn is_voter(&self) -> bool {
        self.members().contains(self.id)
    }

    fn send(&mut self, to: ReplicaId, message: Message, after_sync: bool) {
        self.ready.messages.push(OutgoingMessage {
            to,
            message,
            after_sync,
        });
    }

    fn write_hard_state(&mut self) {
        self.ready.records.push(Record::HardState {
            term: self.term,
            voted_for: self.voted_for,
        });
    }
}
