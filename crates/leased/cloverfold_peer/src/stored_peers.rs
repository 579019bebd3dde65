//! What a control process remembers of entries and guards over a restart, and whom it invites.
//!
//! After a loss of all power an entry or guard knows its seeds alone, and those may be the last to come back. So a control process
//! remembers on disk which processes were connected to it, and asks them after its start to dial it and the other voters. What it
//! remembers also counts for the first directories: each guard is then named the entries that it had before.
//!
//! Decision: whom to invite, and when ([`Invitations`]). Rule: each remembered process that is not connected, every [`INVITE_INTERVAL`]
//! for [`INVITE_SPAN`] after the start, at most [`MAX_INVITATIONS`] in one pass. Inputs: what was remembered, who is connected, the
//! time. Reason: an invitation before its receiver is up is lost, and many at once must not hold up the process.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use serde::{Deserialize, Serialize};

use crate::entry_subsets::KnownGuards;

/// How often a process that is not connected is invited. Chosen, not measured: within a dial of it.
const INVITE_INTERVAL: Duration = Duration::from_millis(100);
/// How long after its start a control process invites. Chosen, not measured: longer than boxes take to come back one after the other
/// (1 s in the traces); whoever comes later reaches a seed by then.
const INVITE_SPAN: Duration = Duration::from_secs(3);
/// Invitations in one pass: with a pass each 25 ms, 2,560 a second. Chosen, not measured.
const MAX_INVITATIONS: usize = 64;

/// The entries and guards that were connected to a control process. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPeers {
    /// The addresses at which entries listen to peers.
    pub entries: BTreeSet<SocketAddr>,
    /// The guards.
    pub guards: KnownGuards,
}

impl StoredPeers {
    /// Returns the addresses of all of them.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let guards = self.guards.keys();
        self.entries.iter().chain(guards).copied()
    }
}

/// The remembered processes that are still to be invited.
#[derive(Debug)]
pub struct Invitations {
    /// With the time of the next invitation, the first due first.
    waiting: VecDeque<(SocketAddr, Timestamp)>,
    ends_at: Timestamp,
}

impl Invitations {
    /// Plans to invite these processes from `now` on, the start of the control process.
    pub fn new(peers: &StoredPeers, now: Timestamp) -> Self {
        Self {
            waiting: peers.addresses().map(|address| (address, now)).collect(),
            ends_at: now + INVITE_SPAN,
        }
    }

    /// Returns whom to invite now; a process that is connected is invited no more.
    pub fn take_due(
        &mut self,
        now: Timestamp,
        is_connected: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        if now > self.ends_at {
            self.waiting.clear();
        }
        let mut due = Vec::new();
        while due.len() < MAX_INVITATIONS
            && let Some((address, _)) = self.waiting.pop_front_if(|(_, at)| *at <= now)
        {
            if !is_connected(address) {
                due.push(address);
                self.waiting.push_back((address, now + INVITE_INTERVAL));
            }
        }
        due
    }
}
