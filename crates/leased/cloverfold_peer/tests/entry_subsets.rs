//! The subsets of entries that guards work with: their size, their balance, and how little moves.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use cloverfold_peer::choose_entries;
use proptest::prelude::*;

type Subsets = BTreeMap<SocketAddr, BTreeSet<SocketAddr>>;

/// Addresses in data halls of their own, as boxes are numbered in them.
fn addresses(count: usize, first: u8) -> BTreeSet<SocketAddr> {
    let address = |index: usize| {
        let (hall, number) = (first + (index % 5) as u8, index / 5);
        let ip = Ipv4Addr::new(10, hall, (number / 250) as u8, (number % 250) as u8);
        SocketAddr::new(ip.into(), 7_720)
    };
    (0..count).map(address).collect()
}

fn guards(count: usize) -> BTreeSet<SocketAddr> {
    addresses(count, 1)
}

fn entries(count: usize) -> BTreeSet<SocketAddr> {
    addresses(count, 101)
}

fn guards_by_entry(subsets: &Subsets, entries: &BTreeSet<SocketAddr>) -> Vec<usize> {
    let count = |entry| subsets.values().filter(|s| s.contains(entry)).count();
    entries.iter().map(count).collect()
}

/// Counts the links of guards in both that are new in `after`.
fn count_moved(before: &Subsets, after: &Subsets) -> usize {
    let moved = |(guard, subset): (&SocketAddr, &BTreeSet<SocketAddr>)| {
        let kept = before.get(guard);
        kept.map_or(0, |kept| subset.difference(kept).count())
    };
    after.iter().map(moved).sum()
}

#[test]
fn in_a_small_installation_every_guard_works_with_every_entry() {
    let subsets = choose_entries(&guards(11), &entries(3));

    assert_eq!(subsets.len(), 11);
    assert!(subsets.values().all(|subset| *subset == entries(3)));
}

#[test]
fn the_work_of_a_process_does_not_grow_with_the_installation() {
    for (guard_count, entry_count) in [(240, 51), (2_400, 510)] {
        let subsets = choose_entries(&guards(guard_count), &entries(entry_count));

        let most = guards_by_entry(&subsets, &entries(entry_count));
        assert!(subsets.values().all(|subset| subset.len() == 4));
        assert!(most.iter().all(|&count| count <= 22), "{most:?}");
    }
}

#[test]
fn where_guards_are_few_every_entry_still_sees_all_of_them() {
    let subsets = choose_entries(&guards(6), &entries(40));

    let seen = guards_by_entry(&subsets, &entries(40));
    assert!(seen.iter().all(|&count| count == 6), "{seen:?}");
}

#[test]
fn nothing_is_chosen_where_there_is_nothing() {
    assert!(choose_entries(&guards(0), &entries(3)).is_empty());
    let subsets = choose_entries(&guards(3), &entries(0));
    assert!(subsets.values().all(BTreeSet::is_empty));
}

#[test]
fn a_guard_that_goes_moves_few_links_of_others() {
    let all = guards(240);
    let before = choose_entries(&all, &entries(51));

    for gone in all.iter().step_by(17) {
        let left = all.iter().copied().filter(|guard| guard != gone).collect();
        let after = choose_entries(&left, &entries(51));

        let moved = count_moved(&before, &after);
        assert!(moved <= 24, "{moved} of 960 links without {gone}");
    }
}

#[test]
fn an_entry_that_goes_moves_little_more_than_its_own_links() {
    let all = entries(51);
    let before = choose_entries(&guards(240), &all);

    for gone in all.iter().step_by(7) {
        let left = all.iter().copied().filter(|entry| entry != gone).collect();
        let after = choose_entries(&guards(240), &left);

        let moved = count_moved(&before, &after);
        assert!(moved <= 110, "{moved} of 960 links without {gone}");
    }
}

proptest! {
    #[test]
    fn every_subset_is_balanced(guard_count in 1_usize..260, entry_count in 1_usize..60) {
        let (guards, entries) = (guards(guard_count), entries(entry_count));

        let subsets = choose_entries(&guards, &entries);

        let sizes: BTreeSet<usize> = subsets.values().map(BTreeSet::len).collect();
        prop_assert_eq!(sizes.len(), 1);
        let size = *sizes.first().unwrap();
        prop_assert!(size >= entry_count.min(4));
        let counts = guards_by_entry(&subsets, &entries);
        let equal_part = (guard_count * size).div_ceil(entry_count);
        let (least, most) = (*counts.iter().min().unwrap(), *counts.iter().max().unwrap());
        prop_assert!(most <= equal_part, "{most} guards, equal part {equal_part}");
        prop_assert!(least + 1 >= equal_part, "{least} guards, equal part {equal_part}");
    }
}
