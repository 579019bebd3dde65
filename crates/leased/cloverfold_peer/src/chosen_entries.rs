//! Decision: which entries a guard keeps links to, and when it leaves one.
//!
//! Each control process names the entries of a guard as it sees the installation (`entry_subsets`). A process that has just started, or
//! is cut off, sees less. So a guard works with every entry that any connected control process names, and leaves an entry only when
//! none has named it for [`LEAVE_AFTER`] and all that are named are connected. While no control process is connected, what was named
//! last holds.
//!
//! Leaving cuts nothing: the entry is told that there is no target any more, the runs that it has there end, and only then the link
//! is closed.
//!
//! Owns what was named ([`ChosenEntries`]). Relies on the guard to dial, to retire sessions and to close links.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;

/// After this without being named an entry is left. Longer than a restarted control process needs to see all others again, so that
/// its first directories move no links. Chosen, not measured.
const LEAVE_AFTER: Duration = Duration::from_secs(3);

/// The entries that a guard works with.
#[derive(Debug, Default)]
pub struct ChosenEntries {
    /// What each connected control process named last.
    named: HashMap<LinkId, BTreeSet<SocketAddr>>,
    /// All entries that are named.
    wanted: BTreeSet<SocketAddr>,
    /// Since when an entry with a link is not named.
    unnamed_since: BTreeMap<SocketAddr, Timestamp>,
}

impl ChosenEntries {
    /// Records what a control process names.
    pub fn set_entries(&mut self, control: LinkId, entries: impl IntoIterator<Item = SocketAddr>) {
        self.named.insert(control, entries.into_iter().collect());
        self.unite();
    }

    /// Forgets what a control process named whose link has closed; what the last one named stays.
    pub fn remove_control(&mut self, control: LinkId) {
        if self.named.remove(&control).is_some() && !self.named.is_empty() {
            self.unite();
        }
    }

    fn unite(&mut self) {
        self.wanted = self.named.values().flatten().copied().collect();
    }

    /// Returns the entries that are named.
    pub fn wanted(&self) -> &BTreeSet<SocketAddr> {
        &self.wanted
    }

    /// Returns whether to follow an invitation of an entry. One that is not named is followed only while no control process is
    /// connected that could name it.
    pub fn accepts_invitation(&self, entry: SocketAddr) -> bool {
        self.named.is_empty() || self.wanted.contains(&entry)
    }

    /// Returns which of the dialed entries to leave: none has named them for [`LEAVE_AFTER`], and all that are named are connected, so
    /// that no control process that sees little can leave this guard without entries.
    pub fn list_unneeded(
        &mut self,
        dialed: impl IntoIterator<Item = SocketAddr>,
        connected: &BTreeSet<SocketAddr>,
        now: Timestamp,
    ) -> BTreeSet<SocketAddr> {
        if self.wanted.is_empty() || !self.wanted.is_subset(connected) {
            self.unnamed_since.clear();
            return BTreeSet::new();
        }
        let unnamed = dialed.into_iter().filter(|e| !self.wanted.contains(e));
        let before = std::mem::take(&mut self.unnamed_since);
        for entry in unnamed {
            let since = before.get(&entry).copied().unwrap_or(now);
            self.unnamed_since.insert(entry, since);
        }
        let is_due = |(_, since): &(&SocketAddr, &Timestamp)| now >= **since + LEAVE_AFTER;
        let due = self.unnamed_since.iter().filter(is_due);
        due.map(|(entry, _)| *entry).collect()
    }
}
