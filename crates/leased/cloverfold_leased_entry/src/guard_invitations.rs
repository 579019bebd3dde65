//! The guards known to an entry, and the schedule for inviting disconnected ones.
//!
//! Guards dial entries, so an entry must ask a restarted guard, which may not know the entry, to dial it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// Interval between invitations to disconnected guards.
const INVITE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a disconnected guard is invited before it is removed.
const GUARD_RETENTION: Duration = Duration::from_secs(60);

/// A guard that is or was connected.
struct KnownGuard {
    links: usize,
    /// Time at which its last link opened or closed.
    last_change_at: Timestamp,
}

/// The guards known to an entry, by the address on which they accept links.
#[derive(Default)]
pub(crate) struct GuardInvitations {
    guards: BTreeMap<SocketAddr, KnownGuard>,
    last_invited_at: Timestamp,
}

impl GuardInvitations {
    /// Records a new link to a guard.
    pub(crate) fn add_link(&mut self, address: SocketAddr, now: Timestamp) {
        let guard = self.guards.entry(address).or_insert(KnownGuard {
            links: 0,
            last_change_at: now,
        });
        guard.links += 1;
    }

    /// Records that a link to a guard has closed.
    pub(crate) fn remove_link(&mut self, address: SocketAddr, now: Timestamp) {
        if let Some(guard) = self.guards.get_mut(&address) {
            guard.links = guard.links.saturating_sub(1);
            guard.last_change_at = now;
        }
    }

    /// Removes a guard that has said goodbye, unless another link to it is open.
    pub(crate) fn discard(&mut self, address: SocketAddr) {
        if self
            .guards
            .get(&address)
            .is_some_and(|guard| guard.links == 0)
        {
            self.guards.remove(&address);
        }
    }

    /// Removes guards that have been disconnected for [`GUARD_RETENTION`], and returns the guards to invite now: none before
    /// [`INVITE_INTERVAL`] is over.
    pub(crate) fn take_due_invitations(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if now < self.last_invited_at + INVITE_INTERVAL {
            return Vec::new();
        }
        self.last_invited_at = now;
        self.guards
            .retain(|_, guard| guard.links > 0 || now < guard.last_change_at + GUARD_RETENTION);
        let disconnected = self.guards.iter().filter(|(_, guard)| guard.links == 0);
        disconnected.map(|(address, _)| *address).collect()
    }
}
