//! The role of a replica, and its status for operators.
//!
//! Owns no state: a status is a copy made when it is asked for. Relies on nothing; log lines and operators' answers rely on the names of the
//! roles.

use crate::log_entries::{LogIndex, Term};
use crate::members::{Members, ReplicaId};

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows a leader or waits for one.
    Follower,
    /// It asks in a pre-vote whether it would be elected.
    PreCandidate,
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

impl Role {
    /// Returns the name that log lines and operators' answers use; these names never change. A pre-candidate is "Trial" there.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "Follower",
            Self::PreCandidate => "Trial",
            Self::Candidate => "Candidate",
            Self::Leader => "Leader",
        }
    }
}

/// The status of a replica, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader of that term, if it is known.
    pub leader: Option<ReplicaId>,
    /// The newest members in its log, committed or not.
    pub members: Members,
    /// Index of the last entry in its log.
    pub last_index: LogIndex,
    /// Index of the last entry that is known to be committed here.
    pub commit: LogIndex,
}
