//! Assignment of guards to entries that need their targets.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

use cloverfold_lease::{Resources, TargetDescription, TargetNeed};
use cloverfold_peer::{EntrySubsets, GuardTarget, NeedsByEntry, add_needed_entries};

/// Maximum number of guards for one need.
const MAX_GUARDS: usize = 16;

fn guard(number: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 1, 0, number).into(), 7_720)
}

fn entry(number: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 2, 0, number).into(), 7_720)
}

fn target(service: &str, labels: &[&str], cpu_milli: i64) -> TargetDescription {
    TargetDescription {
        incarnation: "target".into(),
        service: service.into(),
        capacity: Resources {
            cpu_milli,
            memory_mb: 1_000,
            accelerators: 0,
        },
        labels: labels.iter().map(|&label| label.into()).collect(),
    }
}

fn need(label: Option<&str>) -> TargetNeed {
    TargetNeed {
        service: "send".into(),
        label: label.map(Into::into),
    }
}

/// Returns the guards that are assigned to an entry because of one need; guards are numbered in the order of the targets.
fn choose(targets: &[TargetDescription], entry: SocketAddr, need: &TargetNeed) -> BTreeSet<u8> {
    let needs = NeedsByEntry::from([(entry, BTreeSet::from([need.clone()]))]);
    let mut subsets = EntrySubsets::new();
    add_needed_entries(&mut subsets, &guard_targets(targets), &needs);
    let of_entry = subsets
        .into_iter()
        .filter(|(_, entries)| entries.contains(&entry));
    let numbers = of_entry.map(|(guard, _)| match guard {
        SocketAddr::V4(address) => address.ip().octets()[3],
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    });
    numbers.collect()
}

fn guard_targets(targets: &[TargetDescription]) -> Vec<GuardTarget<'_>> {
    let targets = targets.iter().zip(0..);
    let targets = targets.map(|(target, number)| GuardTarget {
        guard: guard(number),
        target,
    });
    targets.collect()
}

/// Guards against entries that stay without the only target which can run their jobs.
#[test]
fn an_entry_is_assigned_the_guards_of_the_service_with_the_label() {
    let targets = [
        target("send", &["a", "rare"], 1_000),
        target("send", &["a"], 1_000),
        target("other", &["rare"], 1_000),
        target("send", &["rare"], 1_000),
    ];

    assert_eq!(
        choose(&targets, entry(1), &need(Some("rare"))),
        BTreeSet::from([0, 3])
    );
    assert_eq!(
        choose(&targets, entry(1), &need(None)),
        BTreeSet::from([0, 1, 3])
    );
    assert_eq!(
        choose(&targets, entry(1), &need(Some("none"))),
        BTreeSet::new()
    );
}

/// Guards against a need that connects an entry to a whole large service, and entries that all choose the same guards.
#[test]
fn the_guards_for_a_need_are_limited_and_differ_between_entries() {
    let targets = vec![target("send", &["a"], 1_000); 200];

    let first = choose(&targets, entry(1), &need(None));
    let second = choose(&targets, entry(2), &need(None));

    assert_eq!(first.len(), MAX_GUARDS);
    assert_eq!(second.len(), MAX_GUARDS);
    assert_ne!(first, second);
}

/// Guards against a choice that leaves out the few targets which are large enough.
#[test]
fn the_largest_targets_are_always_among_the_guards_for_a_need() {
    let mut targets = vec![target("send", &["a"], 1_000); 200];
    targets[123] = target("send", &["a"], 8_000);
    targets[45].capacity.memory_mb = 64_000;

    for number in 0..20 {
        let guards = choose(&targets, entry(number), &need(Some("a")));
        assert!(guards.contains(&123) && guards.contains(&45), "{guards:?}");
        assert_eq!(guards.len(), MAX_GUARDS);
    }
}

/// Guards against a choice of guards that the entry sees already, none of which meets its need.
#[test]
fn guards_of_the_subset_do_not_count_among_the_guards_for_a_need() {
    let targets = vec![target("send", &["a"], 1_000); 40];
    let needs = NeedsByEntry::from([(entry(1), BTreeSet::from([need(Some("a"))]))]);
    let visible = (0..20).map(|number| (guard(number), BTreeSet::from([entry(1)])));
    let mut subsets: EntrySubsets = visible.collect();

    add_needed_entries(&mut subsets, &guard_targets(&targets), &needs);

    assert_eq!(subsets.len(), 20 + MAX_GUARDS);
}

/// Guards against needs that replace the subset of a guard instead of extending it.
#[test]
fn entries_of_the_subset_remain_assigned() {
    let targets = [target("send", &["rare"], 1_000)];
    let needs = NeedsByEntry::from([(entry(1), BTreeSet::from([need(Some("rare"))]))]);
    let mut subsets = BTreeMap::from([(guard(0), BTreeSet::from([entry(2)]))]);

    add_needed_entries(&mut subsets, &guard_targets(&targets), &needs);

    let expected = BTreeMap::from([(guard(0), BTreeSet::from([entry(1), entry(2)]))]);
    assert_eq!(subsets, expected);
}
