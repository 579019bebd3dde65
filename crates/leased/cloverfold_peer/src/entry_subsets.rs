//! Decision: which entries a guard works with.
//!
//! Every entry that works with a guard places tasks on the same free capacity, and each change of it is a message to each of them. So a
//! guard works with a subset of the entries, whose size does not grow with the installation:
//!
//! - a guard has [`ENTRIES_PER_GUARD`] entries, more if the entries would else have too few guards of its service: each should see
//!   [`GUARDS_PER_ENTRY`], or all if there are fewer, so that a service of few targets can be reached through every entry;
//! - **balanced**: every entry gets its equal part of the links: with 240 guards of four entries each, 18 or 19 guards for each of 51
//!   entries (drawn without equal parts, in a simulation, 8 to 29);
//! - **balanced in each data hall**: every entry gets its equal part of the links of each hall to within one, so that an evacuated or
//!   lost hall takes the same from all: of 70 guards in three halls each of nine entries keeps 20 to 22, whichever hall is gone
//!   (drawn without regard to halls 16 to 26);
//! - **stable**: each guard prefers entries in an order of its own, drawn by a hash of both addresses, so that one that comes or goes
//!   moves little else. There a guard that goes moves 7 to 16 of the 960 links of others, and an entry 35 to 44, its own 19 among
//!   them (a simulation of this rule with another hash, eight removals each; the tests bound them at 24 and 110).
//!
//! Owns no state: the same addresses and services give the same subsets in every control process.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cloverfold_base::hash_parts;
use cloverfold_evacuation::DataHall;
use serde::{Deserialize, Serialize};

/// Entries that a guard works with at least. Measured with 51 entries and 240 guards on the first 14 s of a loaded day, worth of one play
/// each: 51 entries 0.440, 8 0.680, 6 0.700, 4 0.721, 3 0.720, 2 0.698 (docs/LARGE.md, round 1).
const ENTRIES_PER_GUARD: usize = 4;
/// Guards of each service that an entry works with at least: the places for the tasks of a wide job. Chosen, not measured.
const GUARDS_PER_ENTRY: usize = 16;

/// What the choice of a guard's entries depends on. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GuardAttributes {
    /// The service that its target runs; `None` while it is not known.
    pub service: Option<String>,
    /// The data hall it stands in; `None` if it does not tell.
    pub data_hall: Option<DataHall>,
}

/// The guards that count, by the address at which they listen to peers.
pub type KnownGuards = BTreeMap<SocketAddr, GuardAttributes>;
/// The entries that each guard works with, by the addresses at which they listen to peers.
pub type EntrySubsets = BTreeMap<SocketAddr, BTreeSet<SocketAddr>>;

/// A guard in its data hall.
#[derive(Clone, Copy, Debug)]
struct HallGuard<'a> {
    hall: Option<&'a DataHall>,
    guard: Hashed,
}

/// An address with its hash.
#[derive(Clone, Copy, Debug)]
struct Hashed {
    address: SocketAddr,
    hash: u64,
}

impl Hashed {
    fn new(address: SocketAddr) -> Self {
        let hash = hash_parts(&[address.to_string().as_bytes()]);
        let mut first = [0; 8];
        first.copy_from_slice(&hash[..8]);
        Self {
            address,
            hash: u64::from_le_bytes(first),
        }
    }

    /// Returns how much this guard prefers an entry.
    fn weigh(&self, entry: &Self) -> u64 {
        mix(self.hash ^ mix(entry.hash))
    }
}

/// Spreads the bits of a number over all its bits, so that numbers that differ little give unlike results (the finalizer of `SplitMix64`).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Returns the entries of each guard. A guard whose service is not known yet is taken to run the most common one, so that it moves
/// no links when its target registers in an installation of one service.
pub fn choose_entries(guards: &KnownGuards, entries: &BTreeSet<SocketAddr>) -> EntrySubsets {
    let entries: Vec<Hashed> = entries.iter().copied().map(Hashed::new).collect();
    let groups = group_by_service(guards).into_values();
    let subsets = groups.map(|group| choose_in_group(&group, &entries));
    subsets.flatten().collect()
}

/// Returns the guards of each service.
fn group_by_service(guards: &KnownGuards) -> BTreeMap<&str, Vec<HallGuard<'_>>> {
    let mut groups: BTreeMap<&str, Vec<HallGuard<'_>>> = BTreeMap::new();
    let mut unknown = Vec::new();
    for (address, traits) in guards {
        let guard = HallGuard {
            hall: traits.data_hall.as_ref(),
            guard: Hashed::new(*address),
        };
        match &traits.service {
            Some(service) => groups.entry(service).or_default().push(guard),
            None => unknown.push(guard),
        }
    }
    let most_common = groups.iter().max_by_key(|(_, group)| group.len());
    // While none is known, all guards are one group.
    let most_common = most_common.map_or("", |(service, _)| *service);
    groups.entry(most_common).or_default().extend(unknown);
    groups
}

/// Returns the entries of each of these guards, which run the same service.
fn choose_in_group(guards: &[HallGuard<'_>], entries: &[Hashed]) -> EntrySubsets {
    let size = subset_size(guards.len(), entries.len());
    let mut links_before = 0;
    let mut chosen = EntrySubsets::new();
    for hall in group_by_hall(guards).into_values() {
        let links = hall.len() * size;
        let places = EntryPlaces::new(links_before, links, entries.len());
        chosen.extend(choose_in_hall(&hall, entries, size, places));
        links_before += links;
    }
    chosen
}

/// Returns the guards of each data hall, in an order that does not follow their addresses: else its last ones would be served by the
/// entries with free places.
fn group_by_hall<'a>(guards: &[HallGuard<'a>]) -> BTreeMap<Option<&'a DataHall>, Vec<Hashed>> {
    let mut halls: BTreeMap<Option<&DataHall>, Vec<Hashed>> = BTreeMap::new();
    for HallGuard { hall, guard } in guards {
        halls.entry(*hall).or_default().push(*guard);
    }
    for hall in halls.values_mut() {
        hall.sort_unstable_by_key(|guard| (guard.hash, guard.address));
    }
    halls
}

/// Returns the entries of each of these guards, which stand in the same data hall.
fn choose_in_hall(
    guards: &[Hashed],
    entries: &[Hashed],
    size: usize,
    mut places: EntryPlaces,
) -> EntrySubsets {
    let mut chosen = EntrySubsets::new();
    for (index, guard) in guards.iter().enumerate() {
        let guards_left = guards.len() - index;
        let subset = places.take(guard, entries, size, guards_left);
        chosen.insert(guard.address, subset);
    }
    chosen
}

/// Returns with how many entries a guard works.
fn subset_size(guards: usize, entries: usize) -> usize {
    let wanted_links = entries * GUARDS_PER_ENTRY;
    let needed = wanted_links.div_ceil(guards.max(1));
    needed.max(ENTRIES_PER_GUARD).min(entries)
}

/// How many guards of a data hall each entry may still get.
#[derive(Debug)]
struct EntryPlaces {
    /// In the order of the entries.
    left: Vec<usize>,
}

impl EntryPlaces {
    /// Divides the links of a hall equally, and together with those of the halls before it too; where they don't divide, the entries
    /// that are next in turn get one more.
    fn new(links_before: usize, links: usize, entries: usize) -> Self {
        let part = |links: usize, index: usize| (links + entries - 1 - index) / entries;
        let in_hall = |index| part(links_before + links, index) - part(links_before, index);
        Self {
            left: (0..entries).map(in_hall).collect(),
        }
    }

    /// Takes the entries of a guard that is one of `guards_left`: those that need each of these guards to get their part, then those
    /// that it prefers of the others with places left. Each entry then gets its part exactly: there are as many places as links, and
    /// no entry has more places left than there are guards left.
    fn take(
        &mut self,
        guard: &Hashed,
        entries: &[Hashed],
        size: usize,
        guards_left: usize,
    ) -> BTreeSet<SocketAddr> {
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.retain(|&index| self.left[index] > 0);
        order.sort_by_cached_key(|&index| {
            let needs_all = self.left[index] >= guards_left;
            (!needs_all, Reverse(guard.weigh(&entries[index])))
        });
        order.truncate(size);
        for &index in &order {
            self.left[index] -= 1;
        }
        order.iter().map(|&index| entries[index].address).collect()
    }
}
