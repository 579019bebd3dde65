//! Messages between replicas.
//!
//! Fields and variants stand in the order of the bytes on the wire.

use serde::{Deserialize, Serialize};

use crate::log_entries::{Entry, LogIndex, Snapshot, Term};

/// Asks for a vote, or in a pre-vote whether one would be given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The candidate's term; in a pre-vote, the term that it would begin.
    pub term: Term,
    /// Whether this is a pre-vote, which promises nothing.
    pub is_pre_vote: bool,
    /// Index of the last entry in the candidate's log.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
}

/// The answer to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The term that was asked for if the vote is granted, else the voter's term.
    pub term: Term,
    /// As in the request.
    pub is_pre_vote: bool,
    /// Whether the vote is granted.
    pub is_granted: bool,
}

/// Entries of the leader's log; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// Index of the entry before those that are sent.
    pub previous_index: LogIndex,
    /// Term of the entry before those that are sent.
    pub previous_term: Term,
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// Index of the last entry that is known to the leader to be committed.
    pub commit: LogIndex,
    /// Number of the leader's round of messages. The reply echoes it, which proves that the leader was followed after it began the round.
    pub round: u64,
}

/// The answer to an [`AppendEntries`] or an [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the follower's log has the entry before those that were sent.
    pub is_matching: bool,
    /// If matching, the last entry that is the leader's and synced at the follower; else the entry after which the leader should try.
    pub index: LogIndex,
    /// As sent.
    pub round: u64,
}

/// The state, in place of entries that the leader's log no longer has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// The state.
    pub snapshot: Snapshot,
    /// As in [`AppendEntries`].
    pub round: u64,
}

/// A part of a state that is too long for one message. The parts are sent in order; one that does not follow the last is passed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The leader's term.
    pub term: Term,
    /// The snapshot, with this part of its state alone.
    pub snapshot: Snapshot,
    /// Where the part begins in the state, in bytes.
    pub offset: u64,
    /// Length of the whole state, in bytes.
    pub len: u64,
    /// As in [`AppendEntries`].
    pub round: u64,
}

/// A message from one replica to another. The order of the variants is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote.
    Vote(VoteRequest),
    /// Answers a request for a vote.
    VoteReply(VoteReply),
    /// Sends entries or a heartbeat.
    Append(AppendEntries),
    /// Acknowledges or refuses entries.
    AppendReply(AppendReply),
    /// Sends a snapshot.
    InstallSnapshot(InstallSnapshot),
    /// Sends part of a snapshot; only where [`ReplicaConfig::max_snapshot_bytes`](crate::ReplicaConfig::max_snapshot_bytes) is set.
    SnapshotPart(SnapshotPart),
}
