//! Targets that entries need for their kept jobs beyond their subsets of the guards.
//!
//! An entry sends its needs to every control process, and sends them again on a new link. `directories` assigns guards with such targets to
//! the entry as well.

use std::collections::HashMap;

use cloverfold_lease::TargetNeed;
use cloverfold_link::LinkId;
use cloverfold_peer::{GuardTarget, NeedsByEntry, PeerRole};

use super::ControlState;

/// The needs of connected entries, by link.
#[derive(Debug, Default)]
pub(super) struct EntryNeeds {
    by_link: HashMap<LinkId, Vec<TargetNeed>>,
}

impl EntryNeeds {
    /// Replaces the needs on a link; returns whether they changed.
    fn replace(&mut self, link: LinkId, needs: Vec<TargetNeed>) -> bool {
        if needs.is_empty() {
            return self.discard(link);
        }
        let before = self.by_link.insert(link, needs);
        before.as_ref() != self.by_link.get(&link)
    }

    /// Removes the needs on a closed link; returns whether there were any.
    pub(super) fn discard(&mut self, link: LinkId) -> bool {
        self.by_link.remove(&link).is_some()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.by_link.is_empty()
    }
}

impl ControlState {
    /// Records the needs of an entry, for the next directories.
    pub(super) fn receive_target_needs(&mut self, link: LinkId, needs: Vec<TargetNeed>) {
        let Some(hello) = self.links.hello(link) else {
            return;
        };
        if hello.role != PeerRole::Entry {
            return;
        }
        log::info!(entry = hello.name.as_str(), needs = needs.len(); "an entry needs targets for kept jobs");
        if self.entry_needs.replace(link, needs) {
            self.directories.mark_outdated(self.clock.now());
        }
    }

    /// Updates the directories after a change of a guard or its target, if an entry may need it.
    pub(super) fn update_needed_targets(&mut self) {
        if !self.entry_needs.is_empty() {
            self.directories.mark_outdated(self.clock.now());
        }
    }

    /// Returns the needs of all entries.
    pub(super) fn needs_by_entry(&self) -> NeedsByEntry {
        let mut needs = NeedsByEntry::new();
        for (link, of_link) in &self.entry_needs.by_link {
            if let Some(hello) = self.links.hello(*link) {
                let of_entry = needs.entry(hello.address).or_default();
                of_entry.extend(of_link.iter().cloned());
            }
        }
        needs
    }

    /// Returns the targets that entries may use: those of connected guards that are not in an evacuated data hall.
    pub(super) fn list_usable_targets(&self) -> Vec<GuardTarget<'_>> {
        let evacuated = self.evacuations().halls();
        let is_evacuated = |guard| {
            let hall = self.halls.get(guard);
            hall.is_some_and(|hall| evacuated.contains(hall))
        };
        let targets = self.upkeep_runtime.targets.iter();
        let usable =
            targets.filter(|(guard, _)| self.guards.is_connected(**guard) && !is_evacuated(guard));
        let usable = usable.map(|(guard, target)| GuardTarget {
            guard: *guard,
            target: target.description(),
        });
        usable.collect()
    }
}
