//! Messages between replicas. The order of fields and variants is the wire format.

use serde::{Deserialize, Serialize};

use crate::log_entries::{Entry, LogIndex, Snapshot, Term};

/// Requests a vote or, as a pre-vote, asks whether the receiver would grant one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The candidate's term; in a pre-vote, the term that it would start.
    pub term: Term,
    /// Whether this is a pre-vote, which does not bind the voter.
    pub is_pre_vote: bool,
    /// Index of the last entry in the candidate's log.
    pub last_index: LogIndex,
    /// Term of the last entry in the candidate's log.
    pub last_term: Term,
}

/// The reply to a [`VoteRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The requested term if the vote is granted, otherwise the voter's term.
    pub term: Term,
    /// Copied from the request.
    pub is_pre_vote: bool,
    /// Whether the voter grants the vote.
    pub is_granted: bool,
}

/// Replicates entries of the leader's log; a heartbeat if there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendEntries {
    /// The leader's term.
    pub term: Term,
    /// Index of the entry immediately before `entries`.
    pub previous_index: LogIndex,
    /// Term of the entry immediately before `entries`.
    pub previous_term: Term,
    /// The entries, in order.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: LogIndex,
    /// The leader's round number. The reply echoes it, which proves that the follower still followed this leader after the round began.
    pub round: u64,
}

/// The reply to an [`AppendEntries`] or an [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the follower's log contains the entry at `previous_index`.
    pub is_matching: bool,
    /// If matching, the last entry that matches the leader's log and is synced at the follower; otherwise the `previous_index` that the
    /// leader should try next.
    pub index: LogIndex,
    /// Copied from the request.
    pub round: u64,
}

/// Sends a snapshot in place of entries that the leader's log no longer contains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// The snapshot.
    pub snapshot: Snapshot,
    /// The leader's round number, as in [`AppendEntries`].
    pub round: u64,
}

/// One part of a snapshot whose state is too long for one message. The leader sends the parts in order; the follower ignores a part that
/// is out of order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The leader's term.
    pub term: Term,
    /// The snapshot, with only this part of its state.
    pub snapshot: Snapshot,
    /// Offset of the part within the state, in bytes.
    pub offset: u64,
    /// Length of the whole state, in bytes.
    pub len: u64,
    /// The leader's round number, as in [`AppendEntries`].
    pub round: u64,
}

/// A message from one replica to another. The order of the variants is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    Vote(VoteRequest),
    /// Replies to a vote request.
    VoteReply(VoteReply),
    /// Sends entries or a heartbeat.
    Append(AppendEntries),
    /// Acknowledges or rejects entries.
    AppendReply(AppendReply),
    /// Sends a whole snapshot.
    InstallSnapshot(InstallSnapshot),
    /// Sends part of a snapshot; used only if [`ReplicaConfig::max_snapshot_bytes`](crate::ReplicaConfig::max_snapshot_bytes) is set.
    SnapshotPart(SnapshotPart),
}
