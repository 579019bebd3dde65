//! Guards use the entries that control processes assign, and drop an entry only after its link is drained.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;
use cloverfold_peer::{AssignedEntries, LinkDrainStep, LinkDrains};

const CONTROL: LinkId = 1;
const OTHER_CONTROL: LinkId = 2;
const ENTRY_LINK: LinkId = 3;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(ms))
}

fn entry(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7_720))
}

fn entries<const N: usize>(numbers: [u8; N]) -> BTreeSet<SocketAddr> {
    numbers.into_iter().map(entry).collect()
}

/// State of a guard after one control process has assigned entries 1 and 2.
fn with_one_assignment() -> AssignedEntries {
    let mut assigned = AssignedEntries::default();
    assigned.set_assignment(CONTROL, entries([1, 2]));
    assigned
}

#[test]
fn an_entry_is_assigned_if_any_control_process_assigns_it() {
    let mut assigned = with_one_assignment();

    assigned.set_assignment(OTHER_CONTROL, entries([2, 3]));

    assert_eq!(*assigned.entries(), entries([1, 2, 3]));
}

/// Calls `find_entries_to_drop` every 100 ms up to `until_ms` for a guard that is connected to all dialed entries; returns the last
/// result.
fn find_until(
    assigned: &mut AssignedEntries,
    connected: &BTreeSet<SocketAddr>,
    from_ms: u64,
    until_ms: u64,
) -> BTreeSet<SocketAddr> {
    let times = (from_ms..=until_ms).step_by(100);
    let dropped =
        times.map(|ms| assigned.find_entries_to_drop(connected.clone(), connected, at(ms)));
    dropped.last().unwrap()
}

#[test]
fn the_last_assignment_holds_while_no_control_process_is_connected() {
    let mut assigned = with_one_assignment();

    assigned.remove_control(CONTROL);

    assert_eq!(*assigned.entries(), entries([1, 2]));
}

#[test]
fn an_entry_is_dropped_after_three_seconds_without_an_assignment() {
    let mut assigned = with_one_assignment();
    let connected = entries([1, 2, 4]);

    let before = find_until(&mut assigned, &connected, 1_000, 3_900);
    let after = find_until(&mut assigned, &connected, 4_000, 4_000);

    assert_eq!(before, entries([]));
    assert_eq!(after, entries([4]));
}

#[test]
fn no_entry_is_dropped_before_all_assigned_ones_are_connected() {
    let mut assigned = with_one_assignment();

    let without_one = find_until(&mut assigned, &entries([1, 4]), 1_000, 20_000);
    let soon_after = find_until(&mut assigned, &entries([1, 2, 4]), 20_100, 23_000);

    assert_eq!(without_one, entries([]));
    assert_eq!(soon_after, entries([]));
}

#[test]
fn an_empty_assignment_makes_a_guard_drop_no_entry() {
    let mut assigned = with_one_assignment();

    assigned.set_assignment(CONTROL, entries([]));

    let dropped = find_until(&mut assigned, &entries([1, 2]), 1_000, 20_000);
    assert_eq!(dropped, entries([]));
}

#[test]
fn a_short_incomplete_assignment_drops_no_link() {
    let mut assigned = with_one_assignment();
    let connected = entries([1, 2]);
    assigned.set_assignment(CONTROL, entries([2]));
    let incomplete = find_until(&mut assigned, &connected, 1_000, 3_900);

    assigned.set_assignment(CONTROL, entries([1, 2]));
    let reassigned = find_until(&mut assigned, &connected, 4_000, 4_100);
    assigned.set_assignment(CONTROL, entries([2]));
    let delay_restarted = find_until(&mut assigned, &connected, 4_200, 7_000);

    assert_eq!(incomplete, entries([]));
    assert_eq!(reassigned, entries([]));
    assert_eq!(delay_restarted, entries([]));
}

#[test]
fn an_invitation_from_an_unassigned_entry_is_accepted_only_without_control_processes() {
    let mut assigned = AssignedEntries::default();
    let before = assigned.accepts_invitation(entry(4));

    assigned.set_assignment(CONTROL, entries([1]));

    assert!(before);
    assert!(!assigned.accepts_invitation(entry(4)));
    assert!(assigned.accepts_invitation(entry(1)));
    assigned.remove_control(CONTROL);
    assert!(assigned.accepts_invitation(entry(4)));
}

#[test]
fn a_link_is_drained_in_steps_and_closed_only_when_its_runs_have_ended() {
    let mut drains = LinkDrains::default();
    let mut step = |has_runs, ms| drains.advance(ENTRY_LINK, true, has_runs, at(ms));

    let steps = [
        step(true, 0),
        step(false, 499),
        step(true, 900),
        step(false, 920),
        step(false, 940),
    ];

    use LinkDrainStep::{Close, NoChange, SendGoodbye, StopOffering};
    assert_eq!(
        steps,
        [StopOffering, NoChange, NoChange, SendGoodbye, Close]
    );
}

#[test]
fn an_entry_that_is_assigned_again_before_the_goodbye_is_kept() {
    let mut drains = LinkDrains::default();
    drains.advance(ENTRY_LINK, true, true, at(0));

    let reassigned = drains.advance(ENTRY_LINK, false, true, at(100));
    let later = drains.advance(ENTRY_LINK, false, true, at(5_000));

    assert_eq!(reassigned, LinkDrainStep::ResumeOffering);
    assert_eq!(later, LinkDrainStep::NoChange);
}
