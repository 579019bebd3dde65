//! The state machine of one replica.
//!
//! [`Replica`] gets messages, synced batches and ticks as calls, and returns [`Ready`] batches: what to write, send and apply.
//! It owns the term, the vote, the log, and a leader's or follower's view of the others. It has no I/O and reads no clock; it relies
//! on the process for both.
//!
//! | file | duty |
//! |---|---|
//! | `config` | figures |
//! | `election_timer`, `election`, `transitions` | who leads, and since when |
//! | `replication`, `following`, `snapshot_parts` | how entries and snapshots reach the followers |
//! | `commit`, `quorum`, `reads` | what a majority has decided or proved |
//! | `replacement` | which replicas vote |
//! | `compaction` | the snapshot at the beginning of the log |
//! | `sync_progress` | what this replica's disk has synced |
//! | `ready`, `status` | what the process gets |

mod commit;
mod compaction;
mod config;
mod election;
mod election_timer;
mod following;
mod quorum;
mod reads;
mod ready;
mod replacement;
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
use self::following::FollowerState;
use self::replication::LeaderState;
use self::sync_progress::SyncProgress;
use crate::log_entries::{Log, LogIndex, Payload, Term};
use crate::members::{Member, Members, ReplicaId};
use crate::messages::Message;
use crate::records::{Record, RecoveredState};

/// Why a command was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica does not lead; the leader, if it is known.
    #[error("this replica does not lead")]
    NotLeader(Option<ReplicaId>),
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    config: ReplicaConfig,
    term: Term,
    voted_for: Option<ReplicaId>,
    log: Log,
    /// Last entry that is known to be committed.
    commit: LogIndex,
    /// Since when the committed index is higher than the records say; `None` if it isn't.
    commit_unrecorded_since: Option<Timestamp>,
    /// Last entry that was handed out to be applied.
    applied: LogIndex,
    sync_progress: SyncProgress,
    role: Role,
    leader: Option<ReplicaId>,
    election_timer: ElectionTimer,
    /// Who granted the vote that this replica asks for, itself included.
    votes: Vec<ReplicaId>,
    following: FollowerState,
    leading: LeaderState,
    /// Replicas that receive the log without a vote; some may have become voters since.
    learners: BTreeMap<ReplicaId, Member>,
    /// The time of the newest tick, message or sync.
    now: Timestamp,
    ready: Ready,
}

impl Replica {
    /// Starts with what the store recovered; a replica with an empty log belongs to no group yet. `seed` decides its election timeouts.
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
            following: FollowerState::default(),
            leading: LeaderState::new(now),
            learners: BTreeMap::new(),
            now,
            ready: Ready {
                restored,
                ..Ready::default()
            },
        }
    }

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = now;
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else {
            self.start_due_election(now);
        }
    }

    /// Handles a message of another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message, now: Timestamp) {
        self.now = now;
        match message {
            Message::Vote(vote) => self.receive_vote(from, &vote, now),
            Message::VoteReply(reply) => self.receive_vote_reply(from, &reply, now),
            Message::Append(append) => self.receive_append(from, append, now),
            Message::AppendReply(reply) => self.receive_append_reply(from, &reply, now),
            Message::InstallSnapshot(install) => self.receive_snapshot(from, install, now),
            Message::SnapshotPart(part) => self.receive_snapshot_part(from, part, now),
        }
    }

    /// Appends a command if this replica leads, and returns its index. It is not committed yet, and may never be.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::NotLeader`] on every other replica.
    pub fn propose(&mut self, command: Vec<u8>, now: Timestamp) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        Ok(self.append_entry(Payload::Command(command), now))
    }

    /// Returns what is to be done and clears it; call it after every other call.
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

    /// Records that a batch and all before it are synced.
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
            // The messages that waited for this sync are sent only now: give their receivers time to answer.
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

    /// Returns the newest members in the log, committed or not; a change of members counts from its append on.
    pub fn members(&self) -> &Members {
        self.log.newest_members().1
    }

    /// Returns the newest members in the log; `None` while they are not known to be committed.
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
