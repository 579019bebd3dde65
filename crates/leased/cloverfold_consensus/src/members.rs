//! Who takes part in the log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Identity of one replica, drawn when its disk is first used; never that of an earlier disk.
pub type ReplicaId = u64;

/// A replica that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its identity.
    pub id: ReplicaId,
    /// Where other processes reach it.
    pub address: SocketAddr,
}

/// The voters; everybody else only listens.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Those whose majority decides.
    pub voters: Vec<Member>,
}

impl Members {
    /// Says whether a replica votes.
    pub fn contains(&self, id: ReplicaId) -> bool {
        self.voters.iter().any(|member| member.id == id)
    }

    /// Returns how many voters decide.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Finds the voter at an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<&Member> {
        self.voters.iter().find(|member| member.address == address)
    }

    /// Returns these with one more.
    #[must_use]
    pub fn with(&self, member: Member) -> Self {
        let mut voters = self.voters.clone();
        voters.push(member);
        voters.sort_by_key(|member| member.id);
        Self { voters }
    }

    /// Returns these without one.
    #[must_use]
    pub fn without(&self, id: ReplicaId) -> Self {
        let voters = self.voters.iter().filter(|member| member.id != id);
        Self {
            voters: voters.cloned().collect(),
        }
    }
}
