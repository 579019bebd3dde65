//! The set of known entries and guards.
//!
//! A process is known from its first link on until it has had no link for [`PEER_EXPIRY`]. The assignment of guards to entries depends on
//! this set, so a short restart or partition of one process must not rearrange the links of others, while a removed process must
//! eventually disappear.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// How long a process without a link stays known.
const PEER_EXPIRY: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
struct KnownPeer {
    /// Number of open links.
    links: usize,
    /// When the last link closed; `None` while one is open.
    disconnected_at: Option<Timestamp>,
}

/// The known processes of one role, by peer address.
#[derive(Debug, Default)]
pub(super) struct KnownPeers {
    peers: BTreeMap<SocketAddr, KnownPeer>,
}

impl KnownPeers {
    /// Records a new link to a process; returns whether the process was unknown before.
    pub(super) fn connected(&mut self, address: SocketAddr) -> bool {
        let is_new = !self.peers.contains_key(&address);
        let peer = self.peers.entry(address).or_default();
        peer.links += 1;
        peer.disconnected_at = None;
        is_new
    }

    /// Adds a process that was stored before a restart and has no link yet.
    pub(super) fn restore(&mut self, address: SocketAddr, now: Timestamp) {
        let peer = self.peers.entry(address).or_default();
        peer.disconnected_at = Some(now);
    }

    pub(super) fn is_connected(&self, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.links > 0)
    }

    /// Records that a link to a process closed.
    pub(super) fn disconnected(&mut self, address: SocketAddr, now: Timestamp) {
        let Some(peer) = self.peers.get_mut(&address) else {
            return;
        };
        peer.links = peer.links.saturating_sub(1);
        if peer.links == 0 {
            peer.disconnected_at = Some(now);
        }
    }

    /// Removes the processes that have had no link for too long; returns whether there were any.
    pub(super) fn remove_expired(&mut self, now: Timestamp) -> bool {
        let known = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.disconnected_at
                .is_none_or(|at| now <= at + PEER_EXPIRY)
        });
        self.peers.len() != known
    }

    /// Returns the peer addresses of the known processes.
    pub(super) fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.peers.keys().copied().collect()
    }
}
