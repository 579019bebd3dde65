//! Decision: which entries and guards count as there.
//!
//! Rule: a process counts from its first link on until it has had none for 20 s.
//!
//! Inputs: how many links a process has, since when it has none.
//!
//! Reason: guards dial the entries that are named to them, and which these are follows from all entries and guards. A process that
//! restarts or is cut off for a moment must not move links of others; one that was removed must not be counted or dialed for ever.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// How long a process without a link still counts. Chosen, not measured.
const PEER_EXPIRY: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
struct KnownPeer {
    /// How many links to it are open.
    links: usize,
    /// When its last link closed; `None` while it has one.
    disconnected_at: Option<Timestamp>,
}

/// The processes of one role that count, by the address at which they listen to peers.
#[derive(Debug, Default)]
pub(super) struct KnownPeers {
    peers: BTreeMap<SocketAddr, KnownPeer>,
}

impl KnownPeers {
    /// Records a new link to a process; returns whether it did not count before.
    pub(super) fn connected(&mut self, address: SocketAddr) -> bool {
        let is_new = !self.peers.contains_key(&address);
        let peer = self.peers.entry(address).or_default();
        peer.links += 1;
        peer.disconnected_at = None;
        is_new
    }

    /// Counts a process as there that was remembered over a restart, until it has had no link for too long.
    pub(super) fn restore(&mut self, address: SocketAddr, now: Timestamp) {
        let peer = self.peers.entry(address).or_default();
        peer.disconnected_at = Some(now);
    }

    /// Returns whether a process has a link.
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

    /// Forgets the processes that have had no link for too long; returns whether there were any.
    pub(super) fn remove_expired(&mut self, now: Timestamp) -> bool {
        let known = self.peers.len();
        self.peers.retain(|_, peer| {
            peer.disconnected_at
                .is_none_or(|at| now <= at + PEER_EXPIRY)
        });
        self.peers.len() != known
    }

    /// Returns the addresses.
    pub(super) fn addresses(&self) -> BTreeSet<SocketAddr> {
        self.peers.keys().copied().collect()
    }
}
