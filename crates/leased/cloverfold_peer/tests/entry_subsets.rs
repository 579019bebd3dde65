//! Size, balance and stability of the subsets of entries that guards are assigned.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use cloverfold_peer::{EntrySubsets, GuardAttributes, KnownGuards, choose_entries};
use proptest::prelude::*;

/// Returns `count` addresses spread over five networks, whose second octet starts at `first`.
fn addresses(count: usize, first: u8) -> BTreeSet<SocketAddr> {
    let address = |index: usize| {
        let (hall, number) = (first + (index % 5) as u8, index / 5);
        let ip = Ipv4Addr::new(10, hall, (number / 250) as u8, (number % 250) as u8);
        SocketAddr::new(ip.into(), 7_720)
    };
    (0..count).map(address).collect()
}

/// A guard without a known data hall whose target runs a service.
fn guard_of(service: Option<&str>) -> GuardAttributes {
    GuardAttributes {
        service: service.map(Into::into),
        data_hall: None,
    }
}

/// Guards whose targets all run the same service.
fn guards(count: usize) -> KnownGuards {
    let guard = |guard| (guard, guard_of(Some("send")));
    addresses(count, 1).into_iter().map(guard).collect()
}

/// Guards of one service; `counts` holds the number in each data hall.
fn guards_in_halls(counts: &[usize]) -> KnownGuards {
    let mut guards = KnownGuards::new();
    for (hall, &count) in counts.iter().enumerate() {
        for number in 0..count {
            let ip = Ipv4Addr::new(
                10,
                1 + hall as u8,
                (number / 250) as u8,
                (number % 250) as u8,
            );
            let attributes = GuardAttributes {
                data_hall: Some(format!("hall-{hall}")),
                ..guard_of(Some("send"))
            };
            guards.insert(SocketAddr::new(ip.into(), 7_720), attributes);
        }
    }
    guards
}

/// Returns the subsets of the guards in one hall.
fn subsets_in_hall(subsets: &EntrySubsets, guards: &KnownGuards, hall: usize) -> EntrySubsets {
    let name = format!("hall-{hall}");
    let is_there = |guard: &SocketAddr| guards[guard].data_hall.as_ref() == Some(&name);
    let there = subsets.iter().filter(|(guard, _)| is_there(guard));
    there
        .map(|(guard, subset)| (*guard, subset.clone()))
        .collect()
}

fn entries(count: usize) -> BTreeSet<SocketAddr> {
    addresses(count, 101)
}

fn guards_by_entry(subsets: &EntrySubsets, entries: &BTreeSet<SocketAddr>) -> Vec<usize> {
    let count = |entry| subsets.values().filter(|s| s.contains(entry)).count();
    entries.iter().map(count).collect()
}

/// Counts the links in `after` that are not in `before`, for guards that are in both.
fn count_moved(before: &EntrySubsets, after: &EntrySubsets) -> usize {
    let moved = |(guard, subset): (&SocketAddr, &BTreeSet<SocketAddr>)| {
        let kept = before.get(guard);
        kept.map_or(0, |kept| subset.difference(kept).count())
    };
    after.iter().map(moved).sum()
}

#[test]
fn in_a_small_installation_every_guard_has_every_entry() {
    let subsets = choose_entries(&guards(11), &entries(3));

    assert_eq!(subsets.len(), 11);
    assert!(subsets.values().all(|subset| *subset == entries(3)));
}

#[test]
fn the_number_of_links_of_a_process_does_not_grow_with_the_installation() {
    for (guard_count, entry_count) in [(240, 51), (2_400, 510)] {
        let subsets = choose_entries(&guards(guard_count), &entries(entry_count));

        let seen = guards_by_entry(&subsets, &entries(entry_count));
        assert!(subsets.values().all(|subset| subset.len() == 4));
        assert!(seen.iter().all(|&count| count <= 22), "{seen:?}");
    }
}

#[test]
fn with_few_guards_every_entry_sees_all_of_them() {
    let subsets = choose_entries(&guards(6), &entries(40));

    let seen = guards_by_entry(&subsets, &entries(40));
    assert!(seen.iter().all(|&count| count == 6), "{seen:?}");
}

#[test]
fn subsets_are_empty_without_guards_or_entries() {
    assert!(choose_entries(&guards(0), &entries(3)).is_empty());
    let subsets = choose_entries(&guards(3), &entries(0));
    assert!(subsets.values().all(BTreeSet::is_empty));
}

#[test]
fn removing_a_guard_moves_few_links_of_others() {
    let all = guards(240);
    let before = choose_entries(&all, &entries(51));

    for removed in all.keys().step_by(17) {
        let mut left = all.clone();
        left.remove(removed);
        let after = choose_entries(&left, &entries(51));

        let moved = count_moved(&before, &after);
        assert!(moved <= 24, "{moved} of 960 links without {removed}");
    }
}

#[test]
fn removing_an_entry_moves_little_more_than_its_own_links() {
    let all = entries(51);
    let before = choose_entries(&guards(240), &all);

    for removed in all.iter().step_by(7) {
        let left = all
            .iter()
            .copied()
            .filter(|entry| entry != removed)
            .collect();
        let after = choose_entries(&guards(240), &left);

        let moved = count_moved(&before, &after);
        assert!(moved <= 110, "{moved} of 960 links without {removed}");
    }
}

#[test]
fn every_entry_reaches_enough_guards_of_a_service_that_few_targets_run() {
    let mut guards = guards(240);
    let few: Vec<SocketAddr> = guards.keys().copied().step_by(20).collect();
    for guard in &few {
        guards.insert(*guard, guard_of(Some("rare")));
    }

    let mut subsets = choose_entries(&guards, &entries(51));

    subsets.retain(|guard, _| few.contains(guard));
    let seen = guards_by_entry(&subsets, &entries(51));
    assert!(seen.iter().all(|&count| count == few.len()), "{seen:?}");
}

#[test]
fn learning_the_service_of_a_guard_moves_no_link_with_a_single_service() {
    let known = guards(240);
    let mut partly_known = known.clone();
    for guard in partly_known.values_mut().step_by(3) {
        guard.service = None;
    }
    let unknown: KnownGuards = known.keys().map(|guard| (*guard, guard_of(None))).collect();

    let subsets = choose_entries(&known, &entries(51));

    assert_eq!(choose_entries(&partly_known, &entries(51)), subsets);
    assert_eq!(choose_entries(&unknown, &entries(51)), subsets);
}

#[test]
fn entries_stay_balanced_without_any_one_hall() {
    let (guards, entries) = (guards_in_halls(&[24, 23, 23]), entries(9));

    let subsets = choose_entries(&guards, &entries);

    for evacuated in 0..3 {
        let removed = subsets_in_hall(&subsets, &guards, evacuated);
        let mut left = subsets.clone();
        left.retain(|guard, _| !removed.contains_key(guard));
        let seen = guards_by_entry(&left, &entries);
        assert!(
            seen.iter().all(|count| (20..=22).contains(count)),
            "{seen:?}"
        );
    }
}

#[test]
fn removing_a_guard_from_one_of_three_halls_moves_few_links_of_others() {
    let all = guards_in_halls(&[80, 80, 80]);
    let before = choose_entries(&all, &entries(51));

    for removed in all.keys().step_by(17) {
        let mut left = all.clone();
        left.remove(removed);
        let after = choose_entries(&left, &entries(51));

        let moved = count_moved(&before, &after);
        assert!(moved <= 48, "{moved} of 960 links without {removed}");
    }
}

proptest! {
    #[test]
    fn every_subset_is_balanced_in_each_hall(counts in prop::collection::vec(1_usize..90, 1..6), entry_count in 1_usize..60) {
        let (guards, entries) = (guards_in_halls(&counts), entries(entry_count));

        let subsets = choose_entries(&guards, &entries);

        let size = subsets.values().next().unwrap().len();
        prop_assert!(subsets.values().all(|subset| subset.len() == size));
        for (hall, count) in counts.iter().enumerate() {
            let seen = guards_by_entry(&subsets_in_hall(&subsets, &guards, hall), &entries);
            let min = count * size / entry_count;
            prop_assert!(seen.iter().all(|seen| (min..=min + 1).contains(seen)), "{seen:?}");
        }
        let seen = guards_by_entry(&subsets, &entries);
        let (min, max) = (*seen.iter().min().unwrap(), *seen.iter().max().unwrap());
        prop_assert!(max - min <= 1, "{seen:?}");
    }

    #[test]
    fn every_subset_is_balanced(guard_count in 1_usize..260, entry_count in 1_usize..60) {
        let (guards, entries) = (guards(guard_count), entries(entry_count));

        let subsets = choose_entries(&guards, &entries);

        let sizes: BTreeSet<usize> = subsets.values().map(BTreeSet::len).collect();
        prop_assert_eq!(sizes.len(), 1);
        let size = *sizes.first().unwrap();
        prop_assert!(size >= entry_count.min(4));
        let counts = guards_by_entry(&subsets, &entries);
        let fair_share = (guard_count * size).div_ceil(entry_count);
        let (min, max) = (*counts.iter().min().unwrap(), *counts.iter().max().unwrap());
        prop_assert!(max <= fair_share, "{max} guards, fair share {fair_share}");
        prop_assert!(min + 1 >= fair_share, "{min} guards, fair share {fair_share}");
    }
}
