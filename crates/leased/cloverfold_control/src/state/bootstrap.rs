//! Bootstrap of the group of control processes.
//!
//! The group is bootstrapped only at the very first start of an installation (the setting `may_found`, stored on disk as
//! `DiskIdentity::may_bootstrap` when the disk is first used), only by the seed with the lowest address, and only once that process has
//! links to all other seeds and their logs are empty. The seeds become the voters.
//!
//! Two groups would each accept configurations. Requiring all seeds rather than a majority prevents that even if the settings of the
//! processes differ.

use std::net::SocketAddr;

use cloverfold_consensus::{Member, Members, ReplicaId};
use cloverfold_peer::PeerRole;

use super::ControlState;

/// A pending bootstrap by this process.
#[derive(Clone, Debug)]
pub(crate) struct Bootstrap {
    /// The addresses of the initial members, including this process.
    seeds: Vec<SocketAddr>,
}

impl Bootstrap {
    /// Returns the bootstrap if this process is the one to perform it. `seeds` must be sorted.
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
    /// Bootstraps the group once all initial members are connected.
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
        log::info!(voters = voters.len(); "bootstrapping the group of control processes");
        self.bootstrap = None;
        let state = self.state.encode();
        self.host.replica.bootstrap(Members { voters }, state);
        self.advance();
    }

    /// Returns the replicas at all seeds; `None` unless each is connected and has an empty log.
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
