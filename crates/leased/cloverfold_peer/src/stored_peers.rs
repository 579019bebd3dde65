//! The entries and guards that a control process stores on disk, and their invitations after a restart.
//!
//! After a total power loss an entry or guard knows only its seeds, which may be the last processes to come back. So a control process
//! stores which processes were connected and, after its start, invites them to dial it and the other voters. The stored peers also count
//! for the first directories, so that each guard keeps its entries.
//!
//! [`Invitations`] invites each stored process that is not connected every [`INVITE_INTERVAL`] until [`INVITE_PERIOD`] after the start,
//! because an invitation is lost if its receiver is not up yet. Each pass sends at most [`MAX_INVITATIONS`], so that it does not block
//! the process.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use serde::{Deserialize, Serialize};

use crate::entry_subsets::KnownGuards;

/// Interval between invitations to the same process; of the order of one dial attempt.
const INVITE_INTERVAL: Duration = Duration::from_millis(100);
/// How long after its start a control process sends invitations. Longer than boxes take to come back one after the other; a process that
/// starts later can reach a seed.
const INVITE_PERIOD: Duration = Duration::from_secs(3);
/// Maximum number of invitations in one pass. With a pass every 25 ms, 2,560 are sent per second.
const MAX_INVITATIONS: usize = 64;

/// Entries and guards that were connected to a control process. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPeers {
    /// Addresses on which the entries accept links.
    pub entries: BTreeSet<SocketAddr>,
    /// The guards and their attributes.
    pub guards: KnownGuards,
}

impl StoredPeers {
    /// Returns the addresses of all entries and guards.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let guards = self.guards.keys();
        self.entries.iter().chain(guards).copied()
    }
}

/// Schedule of invitations to stored processes.
#[derive(Debug)]
pub struct Invitations {
    /// Addresses with the time of the next invitation, in the order of that time.
    schedule: VecDeque<(SocketAddr, Timestamp)>,
    ends_at: Timestamp,
}

impl Invitations {
    /// Schedules invitations to these processes from `now` on, the start of the control process.
    pub fn new(peers: &StoredPeers, now: Timestamp) -> Self {
        Self {
            schedule: peers.addresses().map(|address| (address, now)).collect(),
            ends_at: now + INVITE_PERIOD,
        }
    }

    /// Returns the addresses to invite now. A process that is connected when its invitation is due gets no more invitations.
    pub fn take_due(
        &mut self,
        now: Timestamp,
        is_connected: impl Fn(SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        if now > self.ends_at {
            self.schedule.clear();
        }
        let mut due = Vec::new();
        while due.len() < MAX_INVITATIONS
            && let Some((address, _)) = self.schedule.pop_front_if(|(_, at)| *at <= now)
        {
            if !is_connected(address) {
                due.push(address);
                self.schedule.push_back((address, now + INVITE_INTERVAL));
            }
        }
        due
    }
}
