//! The voting members of a group.
//!
//! Membership is stored in the log; `replica::membership` decides when it changes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of a replica, generated when its disk is first used. A replacement disk gets a new identity.
pub type ReplicaId = u64;

/// A replica and its peer address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of the replica.
    pub id: ReplicaId,
    /// The address at which its process accepts peer connections.
    pub address: SocketAddr,
}

/// The voters of a group. Every other replica is a learner, which receives the log but has no vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The voters, sorted by identity.
    pub voters: Vec<Member>,
}

impl Members {
    /// Returns whether a replica is a voter.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.iter().any(|member| member.id == id)
    }

    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voter at an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&Member> {
        self.voters.iter().find(|member| member.address == address)
    }

    /// Returns a copy with `member` added.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut voters = self.voters.clone();
        voters.push(member);
        voters.sort_by_key(|member| member.id);
        Self { voters }
    }

    /// Returns a copy without the replica `id`.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let voters = self.voters.iter().filter(|member| member.id != id);
        Self {
            voters: voters.cloned().collect(),
        }
    }
}
