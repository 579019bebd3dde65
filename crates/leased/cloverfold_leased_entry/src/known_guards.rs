//! The guards that an entry knows, and when it invites one that is no longer connected.
//!
//! Guards dial entries, so an entry that a restarted guard does not know yet must ask to be dialed. Owns the addresses of guards that
//! are or were connected. Relies on the caller to send the invitations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// How often a guard that is not connected is invited. Chosen, not measured; docs/design/6-leased-runs.md, "Finding one another".
const INVITE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a guard that is not connected is remembered.
const GUARD_MEMORY: Duration = Duration::from_secs(60);

/// A guard that is or was connected.
struct KnownGuard {
    links: usize,
    /// When its last link opened or closed.
    last_change_at: Timestamp,
}

/// All guards that an entry knows, by the address on which they accept links.
#[derive(Default)]
pub(crate) struct KnownGuards {
    guards: BTreeMap<SocketAddr, KnownGuard>,
    last_invited_at: Timestamp,
}

impl KnownGuards {
    /// Counts a link to a guard.
    pub(crate) fn record_connected(&mut self, address: SocketAddr, now: Timestamp) {
        let guard = self.guards.entry(address).or_insert(KnownGuard {
            links: 0,
            last_change_at: now,
        });
        guard.links += 1;
    }

    /// Counts a link to a guard as closed.
    pub(crate) fn record_disconnected(&mut self, address: SocketAddr, now: Timestamp) {
        if let Some(guard) = self.guards.get_mut(&address) {
            guard.links = guard.links.saturating_sub(1);
            guard.last_change_at = now;
        }
    }

    /// Forgets a guard that has left for other entries, unless another link to it is open.
    pub(crate) fn forget(&mut self, address: SocketAddr) {
        if self
            .guards
            .get(&address)
            .is_some_and(|guard| guard.links == 0)
        {
            self.guards.remove(&address);
        }
    }

    /// Forgets guards that have been away too long, and returns those to invite now: none before [`INVITE_INTERVAL`] is over.
    pub(crate) fn take_due_invitations(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        if now < self.last_invited_at + INVITE_INTERVAL {
            return Vec::new();
        }
        self.last_invited_at = now;
        self.guards
            .retain(|_, guard| guard.links > 0 || now < guard.last_change_at + GUARD_MEMORY);
        let away = self.guards.iter().filter(|(_, guard)| guard.links == 0);
        away.map(|(address, _)| *address).collect()
    }
}
