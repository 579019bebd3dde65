//! The state machine of one replica.

mod election;
mod reads;
mod replacement;
mod replication;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::log_entries::{Entry, Log, LogIndex, Payload, Snapshot, Term};
use crate::members::{Member, Members, ReplicaId};
use crate::messages::Message;
use crate::store::{Record, RecoveredState};
use reads::PendingRead;
use replication::Progress;

/// Time on the process's steady clock.
type Moment = Duration;

/// How many times shorter the first wait for a leader is.
const FIRST_ELECTION_HASTE: u32 = 3;
/// Slower syncs than this do not put off elections any further.
const MAX_SYNC_SPAN: Duration = Duration::from_secs(3);

/// Bounds of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaConfig {
    /// How often a leader shows that it lives.
    pub heartbeat: Duration,
    /// Least time without a leader after which an election is tried.
    pub election_min: Duration,
    /// Most time.
    pub election_max: Duration,
    /// Entries in one message at the most.
    pub batch: usize,
    /// Entries after which the log's beginning is replaced by a snapshot.
    pub keep_entries: usize,
    /// How many voters there should be.
    pub voters: usize,
    /// How long a voter may be silent before another replica takes its place.
    pub replace_after: Duration,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            election_min: Duration::from_millis(350),
            election_max: Duration::from_millis(700),
            batch: 64,
            keep_entries: 256,
            voters: 3,
            replace_after: Duration::from_millis(2_500),
        }
    }
}

/// What a replica is to its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader or waits for one.
    Follower,
    /// It asks in a pre-vote whether it would be elected; "Trial" in log lines and answers.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

impl Role {
    /// Returns the name that log lines and operators' answers use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "Follower",
            Self::PreCandidate => "Trial",
            Self::Candidate => "Candidate",
            Self::Leader => "Leader",
        }
    }
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: ReplicaId,
    /// What it says.
    pub message: Message,
    /// Whether it must wait until the batch's records are synced.
    pub after_sync: bool,
}

/// What a replica wants done, in this order: write, send, apply.
#[derive(Debug, Default)]
pub struct Ready {
    /// Number to pass to [`Replica::persisted`] once `records` are synced; none without records.
    pub batch: Option<u64>,
    /// To be appended to the store and synced.
    pub records: Vec<Record>,
    /// To be sent.
    pub messages: Vec<Outgoing>,
    /// The state to go on from, in place of the one that was applied so far.
    pub restored: Option<Snapshot>,
    /// Entries to be applied.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once the given place is applied; none: the read has failed.
    pub reads: Vec<(u64, Option<LogIndex>)>,
}

/// Why something was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another replica leads, or none.
    #[error("this replica does not lead")]
    NotLeader(Option<ReplicaId>),
}

/// How a replica stands, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader that it knows of.
    pub leader: Option<ReplicaId>,
    /// The newest members that it knows of.
    pub members: Members,
    /// Last place in its log.
    pub last_index: LogIndex,
    /// Place up to which all is committed.
    pub commit: LogIndex,
}

/// A batch on its way to the disk.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnsyncedBatch {
    /// Last place of the log that it makes durable.
    pub(crate) last_index: LogIndex,
    written_at: Moment,
}

/// One replica.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    config: ReplicaConfig,
    rng: SmallRng,
    term: Term,
    voted_for: Option<ReplicaId>,
    log: Log,
    commit: LogIndex,
    applied: LogIndex,
    synced: LogIndex,
    /// Batches under way to the disk.
    unsynced: BTreeMap<u64, UnsyncedBatch>,
    /// How long the disk took for the newest batch.
    sync_span: Duration,
    now: Moment,
    next_batch: u64,
    role: Role,
    leader: Option<ReplicaId>,
    heard_leader_at: Option<Moment>,
    election_at: Moment,
    votes: Vec<ReplicaId>,
    /// Of a leader: the other voters and those that only listen.
    progress: BTreeMap<ReplicaId, Progress>,
    learners: BTreeMap<ReplicaId, Member>,
    heartbeat_at: Moment,
    led_since: Moment,
    round: u64,
    followed_round: u64,
    /// Last place that matches the present leader's log.
    matched: LogIndex,
    reads: Vec<PendingRead>,
    ready: Ready,
}

impl Replica {
    /// Begins with what the store held; an empty state belongs to no group yet.
    pub fn new(
        id: ReplicaId,
        config: ReplicaConfig,
        state: RecoveredState,
        seed: u64,
        now: Moment,
    ) -> Self {
        let snapshot_index = state.snapshot.index;
        let known_commit = state.commit;
        let restored = (snapshot_index > 0).then(|| state.snapshot.clone());
        let log = Log::new(state.snapshot, state.entries);
        let synced = log.last_index();
        let commit = known_commit.clamp(snapshot_index, synced);
        let mut replica = Self {
            id,
            config,
            rng: SmallRng::seed_from_u64(seed),
            term: state.term,
            voted_for: state.voted_for,
            log,
            commit,
            applied: snapshot_index,
            synced,
            unsynced: BTreeMap::new(),
            sync_span: Duration::ZERO,
            now,
            next_batch: 1,
            role: Role::Follower,
            leader: None,
            heard_leader_at: None,
            election_at: now,
            votes: Vec::new(),
            progress: BTreeMap::new(),
            learners: BTreeMap::new(),
            heartbeat_at: now,
            led_since: now,
            round: 0,
            followed_round: 0,
            matched: 0,
            reads: Vec::new(),
            ready: Ready {
                restored,
                ..Ready::default()
            },
        };
        replica.defer_first_election(now);
        replica
    }

    /// Bootstraps a group: only on one replica of an installation, and only if it never had a group.
    pub fn bootstrap(&mut self, members: Members, state: Vec<u8>) {
        if self.log.last_index() > 0 {
            return;
        }
        let snapshot = Snapshot {
            index: 1,
            term: 1,
            members,
            state,
        };
        self.term = self.term.max(1);
        self.write_hard_state();
        self.adopt_snapshot(snapshot);
        self.synced = 0;
    }

    /// Takes what is to be done; call it after every other call.
    pub fn take_ready(&mut self) -> Ready {
        self.deliver_committed();
        let mut ready = std::mem::take(&mut self.ready);
        if !ready.records.is_empty() {
            let batch = self.next_batch;
            self.next_batch += 1;
            let unsynced = UnsyncedBatch {
                last_index: self.log.last_index(),
                written_at: self.now,
            };
            self.unsynced.insert(batch, unsynced);
            ready.batch = Some(batch);
        }
        ready
    }

    /// Says that a batch and all before it are synced.
    pub fn persisted(&mut self, batch: u64, now: Moment) {
        let later = self.unsynced.split_off(&(batch + 1));
        let done = std::mem::replace(&mut self.unsynced, later);
        let Some(newest) = done.values().next_back() else {
            return;
        };
        self.now = now;
        self.sync_span = now.saturating_sub(newest.written_at).min(MAX_SYNC_SPAN);
        self.synced = self
            .synced
            .max(newest.last_index)
            .min(self.log.last_index());
        if self.role != Role::Leader {
            // What waited for the disk leaves only now: its answers are yet to come.
            self.defer_election(now);
        }
        match self.role {
            Role::Leader => self.advance_commit(now),
            _ => self.acknowledge_synced(),
        }
    }

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Moment) {
        self.now = now;
        if self.role == Role::Leader {
            if self.has_lost_quorum(now) {
                self.follow(self.term, None, now);
                return;
            }
            if now >= self.heartbeat_at + self.config.heartbeat {
                self.broadcast(now);
            }
            self.manage_members(now);
        } else if now >= self.election_at && self.is_voter() && self.unsynced.is_empty() {
            // A disk that is busy could not keep up with a leader's duties, and a vote on its way to it must not be overtaken.
            self.begin_pre_vote(now);
        }
    }

    /// Takes a message of another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Message, now: Moment) {
        self.now = now;
        match message {
            Message::Vote(vote) => self.receive_vote_request(from, &vote, now),
            Message::VoteReply(reply) => self.receive_vote_reply(from, &reply, now),
            Message::Append(append) => self.receive_append(from, append, now),
            Message::AppendReply(reply) => self.receive_append_reply(from, &reply, now),
            Message::InstallSnapshot(install) => self.receive_snapshot(from, install, now),
        }
    }

    /// Appends something if this replica leads.
    ///
    /// # Errors
    ///
    /// Names the leader where it is known.
    pub fn propose(&mut self, command: Vec<u8>, now: Moment) -> Result<LogIndex, ProposeError> {
        if self.role != Role::Leader {
            return Err(ProposeError::NotLeader(self.leader));
        }
        Ok(self.append_entry(Payload::Command(command), now))
    }

    /// Replaces the log's beginning by the state after `index`, if the log has become long.
    pub fn maybe_compact(&mut self, index: LogIndex, state: impl FnOnce() -> Vec<u8>) {
        if self.log.len() < self.config.keep_entries || index <= self.log.snapshot.index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.members_at(index),
            state: state(),
        };
        self.log.compact(snapshot.clone());
        self.ready.records.push(Record::Snapshot(snapshot));
        let kept: Vec<Entry> = self.log.entries().cloned().collect();
        self.ready
            .records
            .extend(kept.into_iter().map(Record::Entry));
    }

    /// Returns how the replica stands.
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

    /// Returns the newest members, committed or not.
    pub fn members(&self) -> &Members {
        self.log.newest_members().1
    }

    /// Says whether this replica was in touch with its group within `span`, as a leader with a majority of it.
    pub fn has_quorum_contact(&self, span: Duration, now: Moment) -> bool {
        match self.role {
            Role::Leader => self.count_recently_heard(span, now) >= self.members().majority(),
            _ => self.heard_leader_at.is_some_and(|at| now < at + span),
        }
    }

    fn is_voter(&self) -> bool {
        self.members().contains(self.id)
    }

    fn members_at(&self, index: LogIndex) -> Members {
        let mut members = self.log.snapshot.members.clone();
        for entry in self.log.entries().take_while(|entry| entry.index <= index) {
            if let Payload::Members(newer) = &entry.payload {
                members = newer.clone();
            }
        }
        members
    }

    fn send(&mut self, to: ReplicaId, message: Message, after_sync: bool) {
        self.ready.messages.push(Outgoing {
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

    fn adopt_snapshot(&mut self, snapshot: Snapshot) {
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.unsynced.clear();
        self.ready.committed.clear();
        self.ready.restored = Some(snapshot.clone());
        self.ready.records.push(Record::Snapshot(snapshot.clone()));
        self.log.restore(snapshot);
        self.synced = 0;
    }

    fn commit_to(&mut self, index: LogIndex) {
        if index > self.commit {
            self.commit = index;
            self.ready.records.push(Record::Commit { index });
        }
    }

    fn deliver_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1).cloned() else {
                return;
            };
            self.applied += 1;
            self.ready.committed.push(entry);
        }
    }

    /// Becomes a follower, of a later term if need be.
    fn follow(&mut self, term: Term, leader: Option<ReplicaId>, now: Moment) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.matched = 0;
            self.write_hard_state();
        }
        if self.role == Role::Leader {
            self.fail_reads();
            self.progress.clear();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.defer_election(now);
    }

    /// A replica that starts may be one of many that start together: waiting long serves nobody, and a leader that lives is not
    /// disturbed by a pre-vote.
    fn defer_first_election(&mut self, now: Moment) {
        self.defer_election(now);
        let wait = self.election_at.saturating_sub(now);
        self.election_at = now + wait / FIRST_ELECTION_HASTE;
    }

    fn defer_election(&mut self, now: Moment) {
        let least = self.config.election_min.as_millis() as u64;
        let most = self.config.election_max.as_millis() as u64;
        let wait = self.rng.random_range(least..=most.max(least));
        // A voter's disk may be as slow as this one.
        self.election_at = now + Duration::from_millis(wait) + self.sync_span * 2;
    }
}
