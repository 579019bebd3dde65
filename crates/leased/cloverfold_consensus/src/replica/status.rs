//! The role and the status of a replica.

use crate::log_entries::{LogIndex, Term};
use crate::members::{Members, ReplicaId};

/// The role of a replica in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Holds a pre-vote.
    PreCandidate,
    /// Requests votes in its own term.
    Candidate,
    /// Leads the group.
    Leader,
}

impl Role {
    /// Returns the name used in log lines and API responses. These names are stable; a pre-candidate is called "Trial".
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Follower => "Follower",
            Self::PreCandidate => "Trial",
            Self::Candidate => "Candidate",
            Self::Leader => "Leader",
        }
    }
}

/// The status of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// The current role.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader of the current term, if it is known.
    pub leader: Option<ReplicaId>,
    /// The newest members in the log, committed or not.
    pub members: Members,
    /// Index of the last entry in the log.
    pub last_index: LogIndex,
    /// Index of the last entry known to be committed.
    pub commit: LogIndex,
}
