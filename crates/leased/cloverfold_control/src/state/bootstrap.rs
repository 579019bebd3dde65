//! Decision: when the group of an installation begins.
//!
//! Rule: only at the very first start of an installation (the setting `may_found` when the disk was first used), only by the first seed by address,
//! and only once it has links to all other seeds and their logs are empty. The seeds become the voters.
//!
//! Inputs: the setting as stored on disk (`DiskIdentity::may_bootstrap`), the seeds of the settings, the introductions of the peers that this process dialed.
//!
//! Reason: two groups would each accept configurations. If a majority of the seeds could begin, two halves could do so when their
//! settings differ (docs/design/7-control.md, "Bootstrap").

use std::net::SocketAddr;

use cloverfold_consensus::{Member, Members, ReplicaId};
use cloverfold_peer::PeerRole;

use super::ControlState;

/// A group that this process is to begin.
#[derive(Clone, Debug)]
pub(crate) struct Bootstrap {
    /// The first members, this process included.
    seeds: Vec<SocketAddr>,
}

impl Bootstrap {
    /// Returns the group that this process is to begin, if it is the one to do so. `seeds` are in order.
    pub(crate) fn plan(
        may_bootstrap: bool,
        has_empty_log: bool,
        own: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Option<Self> {
        let is_first = seeds.first() == Some(&own);
        (may_bootstrap && has_empty_log && is_first).then(|| Self {
            seeds: seeds.to_vec(),
        })
    }
}

impl ControlState {
    /// Begins the group once all its first members can be reached.
    pub(super) fn try_bootstrap(&mut self) {
        let Some(bootstrap) = &self.bootstrap else {
            return;
        };
        if self.host.replica.status().last_index > 0 {
            self.bootstrap = None;
            return;
        }
        let Some(mut voters) = self.find_initial_voters(&bootstrap.seeds) else {
            return;
        };
        voters.sort_by_key(|member| member.id);
        log::info!(voters = voters.len(); "the group is founded");
        self.bootstrap = None;
        let state = self.state.encode();
        self.host.replica.bootstrap(Members { voters }, state);
        self.advance();
    }

    /// Returns the replicas at all seeds, or `None` unless each is known and new.
    fn find_initial_voters(&self, seeds: &[SocketAddr]) -> Option<Vec<Member>> {
        let voters = seeds.iter().map(|&address| {
            let id = self.find_initial_voter(address)?;
            Some(Member { id, address })
        });
        voters.collect()
    }

    fn find_initial_voter(&self, address: SocketAddr) -> Option<ReplicaId> {
        if address == self.own.address {
            return Some(self.replica_id);
        }
        let mut dialed = self.links.dialed_peers();
        let hello = dialed.find(|hello| hello.address == address)?;
        match hello.role {
            PeerRole::Control {
                replica,
                has_empty_log: true,
            } => Some(replica),
            _ => None,
        }
    }
}
