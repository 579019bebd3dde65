//! Decision: which entries are named to guards.
//!
//! Rule: an entry is named from its first link on until it has had none for 20 s.
//!
//! Inputs: how many links an entry has, since when it has none.
//!
//! Reason: guards dial the entries that are named. An entry that restarts or is cut off for a moment must not lose its guards; one that
//! was removed must not be dialed for ever.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// How long an entry without a link is still named. Chosen, not measured.
const ENTRY_MEMORY: Duration = Duration::from_secs(20);

#[derive(Debug, Default)]
struct KnownEntry {
    /// How many links to it are open.
    links: usize,
    /// When its last link closed; `None` while it has one.
    gone_at: Option<Timestamp>,
}

/// The entries that are named to guards, by the address at which they listen to peers.
#[derive(Debug, Default)]
pub(super) struct KnownEntries {
    entries: BTreeMap<SocketAddr, KnownEntry>,
}

impl KnownEntries {
    /// Records a new link to an entry.
    pub(super) fn connected(&mut self, address: SocketAddr) {
        let entry = self.entries.entry(address).or_default();
        entry.links += 1;
        entry.gone_at = None;
    }

    /// Records that a link to an entry closed.
    pub(super) fn disconnected(&mut self, address: SocketAddr, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(&address) else {
            return;
        };
        entry.links = entry.links.saturating_sub(1);
        if entry.links == 0 {
            entry.gone_at = Some(now);
        }
    }

    /// Forgets the entries that have had no link for too long; returns whether there were any.
    pub(super) fn forget_gone(&mut self, now: Timestamp) -> bool {
        let known = self.entries.len();
        self.entries
            .retain(|_, entry| entry.gone_at.is_none_or(|at| now <= at + ENTRY_MEMORY));
        self.entries.len() != known
    }

    /// Returns the addresses, in order.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries.keys().copied()
    }
}
