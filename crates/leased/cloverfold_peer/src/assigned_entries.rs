//! The entries that control processes assign to a guard, and when the guard drops one that is no longer assigned.
//!
//! Each control process assigns entries to a guard from its own view of the installation (`entry_subsets`). A process that has just
//! started, or is partitioned, has an incomplete view. So a guard uses every entry that any connected control process assigns, and drops
//! an entry only when none has assigned it for [`DROP_DELAY`] and all assigned entries are connected. While no control process is
//! connected, the last assignments stay in effect.
//!
//! Dropping an entry interrupts no run: the guard drains the link first (`link_drains`).

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;

/// How long an entry must be unassigned before the guard drops it. Longer than a restarted control process needs to see all peers
/// again, so that its first, incomplete directories move no links.
const DROP_DELAY: Duration = Duration::from_secs(3);

/// The entries that control processes have assigned to a guard.
#[derive(Debug, Default)]
pub struct AssignedEntries {
    /// Last assignment from each connected control process.
    by_control: HashMap<LinkId, BTreeSet<SocketAddr>>,
    /// Union of all assignments.
    assigned: BTreeSet<SocketAddr>,
    /// Since when a dialed entry has been unassigned.
    unassigned_since: BTreeMap<SocketAddr, Timestamp>,
}

impl AssignedEntries {
    /// Records the entries that a control process assigns.
    pub fn set_assignment(
        &mut self,
        control: LinkId,
        entries: impl IntoIterator<Item = SocketAddr>,
    ) {
        self.by_control
            .insert(control, entries.into_iter().collect());
        self.update_assigned();
    }

    /// Removes the assignment of a control process whose link has closed; the assignment of the last one stays in effect.
    pub fn remove_control(&mut self, control: LinkId) {
        if self.by_control.remove(&control).is_some() && !self.by_control.is_empty() {
            self.update_assigned();
        }
    }

    fn update_assigned(&mut self) {
        self.assigned = self.by_control.values().flatten().copied().collect();
    }

    /// Returns all assigned entries.
    pub fn entries(&self) -> &BTreeSet<SocketAddr> {
        &self.assigned
    }

    /// Returns whether to dial an entry that sent an invitation. An unassigned entry is dialed only while no control process is connected
    /// that could assign it.
    pub fn accepts_invitation(&self, entry: SocketAddr) -> bool {
        self.by_control.is_empty() || self.assigned.contains(&entry)
    }

    /// Returns which of the dialed entries to drop: those that have been unassigned for [`DROP_DELAY`]. Returns none unless all assigned
    /// entries are connected, so that a control process with an incomplete view cannot leave this guard without entries.
    pub fn find_entries_to_drop(
        &mut self,
        dialed: impl IntoIterator<Item = SocketAddr>,
        connected: &BTreeSet<SocketAddr>,
        now: Timestamp,
    ) -> BTreeSet<SocketAddr> {
        if self.assigned.is_empty() || !self.assigned.is_subset(connected) {
            self.unassigned_since.clear();
            return BTreeSet::new();
        }
        let unassigned = dialed.into_iter().filter(|e| !self.assigned.contains(e));
        let previous = std::mem::take(&mut self.unassigned_since);
        for entry in unassigned {
            let since = previous.get(&entry).copied().unwrap_or(now);
            self.unassigned_since.insert(entry, since);
        }
        let is_due = |(_, since): &(&SocketAddr, &Timestamp)| now >= **since + DROP_DELAY;
        let due = self.unassigned_since.iter().filter(is_due);
        due.map(|(entry, _)| *entry).collect()
    }
}
