//! The replicas that vote.
//!
//! Members are entries of the log; which replicas become members is decided in `replica::replacement`.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of one replica, drawn when its disk is first used; never that of an earlier disk.
pub type ReplicaId = u64;

/// A replica that votes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub id: ReplicaId,
    /// Where its process listens to peers.
    pub address: SocketAddr,
}

/// The voters. Every other replica is a learner: it receives the log and has no vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The replicas whose majority decides, by identity.
    pub voters: Vec<Member>,
}

impl Members {
    /// Returns whether a replica votes.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.iter().any(|member| member.id == id)
    }

    /// Returns how many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voter at an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&Member> {
        self.voters.iter().find(|member| member.address == address)
    }

    /// Returns these members and one more.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut voters = self.voters.clone();
        voters.push(member);
        voters.sort_by_key(|member| member.id);
        Self { voters }
    }

    /// Returns these members without one.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let voters = self.voters.iter().filter(|member| member.id != id);
        Self {
            voters: voters.cloned().collect(),
        }
    }
}
