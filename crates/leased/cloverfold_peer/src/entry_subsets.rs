//! Deterministic subsetting: assigns each guard a subset of the entries.
//!
//! Entries that share a guard compete for the same free capacity, and each change of the capacity is sent to all of them. The size of a
//! subset therefore does not grow with the installation:
//!
//! - **Size**: a guard has [`ENTRIES_PER_GUARD`] entries. It has more if each entry would otherwise see fewer than [`GUARDS_PER_ENTRY`]
//!   guards of the service, or fewer than all if there are not as many. So a service with few targets is reachable through every entry.
//! - **Balance**: all entries have the same number of links to the guards of a service, to within one.
//! - **Balance in each data hall**: the same holds for the guards of a service in each hall, so that all entries lose the same number of
//!   guards when a hall is evacuated or fails.
//! - **Stability**: each guard ranks the entries by a hash of both addresses, so that adding or removing a process moves few other
//!   links.
//!
//! The subsets depend only on the arguments, so every control process computes the same ones.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cloverfold_base::hash_parts;
use cloverfold_evacuation::DataHall;
use serde::{Deserialize, Serialize};

/// Minimum number of entries of a guard, unless there are fewer. More entries cause more conflicting placements.
const ENTRIES_PER_GUARD: usize = 4;
/// Minimum number of guards of each service that an entry sees, unless there are fewer; gives a job with many tasks enough targets.
pub(crate) const GUARDS_PER_ENTRY: usize = 16;

/// The attributes of a guard that its subset depends on. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardAttributes {
    /// Service of its target; `None` while unknown.
    pub service: Option<String>,
    /// Data hall of the guard; `None` if its build does not report one.
    pub data_hall: Option<DataHall>,
}

/// Guards by the address on which they accept links.
pub type KnownGuards = BTreeMap<SocketAddr, GuardAttributes>;
/// The entries assigned to each guard, by the addresses on which they accept links.
pub type EntrySubsets = BTreeMap<SocketAddr, BTreeSet<SocketAddr>>;

/// A guard with its data hall.
#[derive(Clone, Copy, Debug)]
struct HallGuard<'a> {
    hall: Option<&'a DataHall>,
    guard: HashedAddress,
}

/// An address with its hash.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HashedAddress {
    pub(crate) address: SocketAddr,
    hash: u64,
}

impl HashedAddress {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let hash = hash_parts(&[address.to_string().as_bytes()]);
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        Self {
            address,
            hash: u64::from_le_bytes(first),
        }
    }

    /// Returns the rank weight of an entry for this guard; a higher weight is preferred (rendezvous hashing).
    pub(crate) fn weight(&self, entry: &Self) -> u64 {
        mix_bits(self.hash ^ mix_bits(entry.hash))
    }
}

/// Mixes the bits of a number, so that similar inputs give unrelated results (finalizer of `SplitMix64`).
fn mix_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Returns the entries of each guard. A guard with an unknown service counts as running the most common one, so that no link moves when
/// its target registers in an installation with a single service.
pub fn choose_entries(guards: &KnownGuards, entries: &BTreeSet<SocketAddr>) -> EntrySubsets {
    let entries: Vec<HashedAddress> = entries.iter().copied().map(HashedAddress::new).collect();
    let groups = group_by_service(guards).into_values();
    let subsets = groups.map(|group| choose_for_service(&group, &entries));
    subsets.flatten().collect()
}

/// Groups guards by service.
fn group_by_service(guards: &KnownGuards) -> BTreeMap<&str, Vec<HallGuard<'_>>> {
    let mut groups: BTreeMap<&str, Vec<HallGuard<'_>>> = BTreeMap::new();
    let mut unknown = Vec::new();
    for (address, attributes) in guards {
        let guard = HallGuard {
            hall: attributes.data_hall.as_ref(),
            guard: HashedAddress::new(*address),
        };
        match &attributes.service {
            Some(service) => groups.entry(service).or_default().push(guard),
            None => unknown.push(guard),
        }
    }
    let most_common = groups.iter().max_by_key(|(_, group)| group.len());
    // While no service is known, all guards form one group.
    let most_common = most_common.map_or("", |(service, _)| *service);
    groups.entry(most_common).or_default().extend(unknown);
    groups
}

/// Returns the entries of each guard; all guards run the same service.
fn choose_for_service(guards: &[HallGuard<'_>], entries: &[HashedAddress]) -> EntrySubsets {
    let size = subset_size(guards.len(), entries.len());
    let mut links_before = 0;
    let mut chosen = EntrySubsets::new();
    for hall in group_by_hall(guards).into_values() {
        let links = hall.len() * size;
        let slots = EntrySlots::new(links_before, links, entries.len());
        chosen.extend(choose_for_hall(&hall, entries, size, slots));
        links_before += links;
    }
    chosen
}

/// Groups guards by data hall, ordered by hash. In address order the last guards of a hall would always get whichever entries have
/// slots left.
fn group_by_hall<'a>(
    guards: &[HallGuard<'a>],
) -> BTreeMap<Option<&'a DataHall>, Vec<HashedAddress>> {
    let mut halls: BTreeMap<Option<&DataHall>, Vec<HashedAddress>> = BTreeMap::new();
    for HallGuard { hall, guard } in guards {
        halls.entry(*hall).or_default().push(*guard);
    }
    for hall in halls.values_mut() {
        hall.sort_unstable_by_key(|guard| (guard.hash, guard.address));
    }
    halls
}

/// Returns the entries of each guard; all guards are in the same data hall.
fn choose_for_hall(
    guards: &[HashedAddress],
    entries: &[HashedAddress],
    size: usize,
    mut slots: EntrySlots,
) -> EntrySubsets {
    let mut chosen = EntrySubsets::new();
    for (index, guard) in guards.iter().enumerate() {
        let guards_remaining = guards.len() - index;
        let subset = slots.take(guard, entries, size, guards_remaining);
        chosen.insert(guard.address, subset);
    }
    chosen
}

/// Returns the number of entries of each guard.
fn subset_size(guards: usize, entries: usize) -> usize {
    let required_links = entries * GUARDS_PER_ENTRY;
    let required = required_links.div_ceil(guards.max(1));
    required.max(ENTRIES_PER_GUARD).min(entries)
}

/// Remaining links of each entry to guards of one data hall.
#[derive(Debug)]
struct EntrySlots {
    /// Remaining links in the order of the entries.
    remaining: Vec<usize>,
}

impl EntrySlots {
    /// Divides the links of a hall evenly among the entries. A remainder goes to the next entries in turn, continuing after the previous
    /// halls, so that the totals of all halls are even as well.
    fn new(links_before: usize, links: usize, entries: usize) -> Self {
        let share = |links: usize, index: usize| (links + entries - 1 - index) / entries;
        let in_hall = |index| share(links_before + links, index) - share(links_before, index);
        Self {
            remaining: (0..entries).map(in_hall).collect(),
        }
    }

    /// Takes the entries of the next guard; `guards_remaining` includes it. Entries that need every remaining guard to use up their slots
    /// come first, then the others in the order of preference. Every entry uses up its slots exactly: there are as many slots as links,
    /// and no entry has more slots than there are remaining guards.
    fn take(
        &mut self,
        guard: &HashedAddress,
        entries: &[HashedAddress],
        size: usize,
        guards_remaining: usize,
    ) -> BTreeSet<SocketAddr> {
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.retain(|&index| self.remaining[index] > 0);
        order.sort_by_cached_key(|&index| {
            let needs_all = self.remaining[index] >= guards_remaining;
            (!needs_all, Reverse(guard.weight(&entries[index])))
        });
        order.truncate(size);
        for &index in &order {
            self.remaining[index] -= 1;
        }
        order.iter().map(|&index| entries[index].address).collect()
    }
}
