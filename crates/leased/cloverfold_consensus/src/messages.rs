//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::log_entries::{Entry, LogIndex, Snapshot, Term};

/// Asks for a vote, or whether one would be given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The candidate's term; of a pre-vote, the term that it would begin.
    pub term: Term,
    /// Whether nothing is promised yet.
    pub is_pre_vote: bool,
    /// Place of the candidate's last entry.
    pub last_index: LogIndex,
    /// Term of that entry.
    pub last_term: Term,
}

/// The answer to a [`Vote`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteReply {
    /// The term that was asked for if granted, else the voter's.
    pub term: Term,
    /// As asked.
    pub is_pre_vote: bool,
    /// Whether the vote is given.
    pub is_granted: bool,
}

/// The leader's entries, or only its sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: Term,
    /// Place before the entries.
    pub previous_index: LogIndex,
    /// Term at that place.
    pub previous_term: Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// Place up to which all is committed.
    pub commit: LogIndex,
    /// Number of the leader's round, to be echoed: it proves that the leader was followed after it began the round.
    pub round: u64,
}

/// The answer to an [`Append`] or an [`InstallSnapshot`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The follower's term.
    pub term: Term,
    /// Whether the place before the entries matched.
    pub is_matching: bool,
    /// If matching: the last place that is the leader's and synced here. Else a place to try from.
    pub index: LogIndex,
    /// As sent.
    pub round: u64,
}

/// The state in place of entries that the leader no longer has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstallSnapshot {
    /// The leader's term.
    pub term: Term,
    /// The state.
    pub snapshot: Snapshot,
    /// As in [`Append`].
    pub round: u64,
}

/// What one replica sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A vote is wanted.
    Vote(Vote),
    /// A vote is given or not.
    VoteReply(VoteReply),
    /// Entries.
    Append(Append),
    /// How far they got.
    AppendReply(AppendReply),
    /// A snapshot.
    InstallSnapshot(InstallSnapshot),
}
