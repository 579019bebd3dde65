//! Guards that are assigned to an entry beyond its subset, because its kept jobs need their targets.
//!
//! For each need of an entry, up to [`GUARDS_PER_ENTRY`] guards with a matching target are chosen, outside its subset, which does not meet the
//! need. The entry reports only the service and the label, so the choice covers every demand that any matching target could satisfy: it starts with a target of each capacity that no other
//! capacity covers. Beyond that, each entry ranks the guards by a hash, as for the subsets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cloverfold_lease::{Resources, TargetDescription, TargetNeed};

use crate::entry_subsets::{EntrySubsets, GUARDS_PER_ENTRY, HashedAddress};

/// The needs of entries, by the address on which an entry accepts links.
pub type NeedsByEntry = BTreeMap<SocketAddr, BTreeSet<TargetNeed>>;

/// A guard, by the address on which it accepts links, and its target.
#[derive(Clone, Copy, Debug)]
pub struct GuardTarget<'a> {
    /// The guard.
    pub guard: SocketAddr,
    /// Its target, which entries may use.
    pub target: &'a TargetDescription,
}

/// Adds each entry to the subsets of guards whose targets it needs.
pub fn add_needed_entries(
    subsets: &mut EntrySubsets,
    targets: &[GuardTarget<'_>],
    needs: &NeedsByEntry,
) {
    let wanted: BTreeSet<&TargetNeed> = needs.values().flatten().collect();
    let matching = group_by_need(targets, &wanted);
    for (entry, needs) in needs {
        let is_new = |target: &&GuardTarget<'_>| {
            let subset = subsets.get(&target.guard);
            !subset.is_some_and(|subset| subset.contains(entry))
        };
        let mut chosen = Vec::new();
        for matching in needs.iter().filter_map(|need| matching.get(need)) {
            let candidates = matching.iter().filter(is_new).copied().collect();
            chosen.extend(choose_guards(*entry, candidates));
        }
        for guard in chosen {
            subsets.entry(guard).or_default().insert(*entry);
        }
    }
}

/// Returns the targets that match each of the wanted needs.
fn group_by_need<'a>(
    targets: &[GuardTarget<'a>],
    wanted: &BTreeSet<&TargetNeed>,
) -> BTreeMap<TargetNeed, Vec<GuardTarget<'a>>> {
    let mut matching: BTreeMap<TargetNeed, Vec<GuardTarget<'a>>> = BTreeMap::new();
    for target in targets {
        let labels = target.target.labels.iter().cloned().map(Some);
        for label in labels.chain([None]) {
            let need = TargetNeed {
                service: target.target.service.clone(),
                label,
            };
            if wanted.contains(&need) {
                matching.entry(need).or_default().push(*target);
            }
        }
    }
    matching
}

/// Chooses the guards for one need of an entry.
fn choose_guards(entry: SocketAddr, mut ranked: Vec<GuardTarget<'_>>) -> Vec<SocketAddr> {
    let entry = HashedAddress::new(entry);
    ranked.sort_by_cached_key(|target| {
        let guard = HashedAddress::new(target.guard);
        (Reverse(guard.weight(&entry)), target.guard)
    });
    let capacities = ranked.iter().map(|target| &target.target.capacity);
    let mut uncovered = Resources::maximal(capacities);
    let (first, others): (Vec<_>, Vec<_>) = ranked
        .into_iter()
        .partition(|target| take(&mut uncovered, &target.target.capacity));
    let guards = first.into_iter().chain(others);
    guards
        .take(GUARDS_PER_ENTRY)
        .map(|target| target.guard)
        .collect()
}

/// Removes a capacity from a list; returns whether it was there.
fn take(capacities: &mut Vec<Resources>, capacity: &Resources) -> bool {
    let position = capacities.iter().position(|other| other == capacity);
    position
        .map(|index| capacities.swap_remove(index))
        .is_some()
}
