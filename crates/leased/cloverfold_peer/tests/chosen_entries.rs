//! Which entries a guard works with, as control processes name them, and how it leaves one.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;
use cloverfold_peer::{ChosenEntries, LinkDrainStep, LinkDrains};

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

/// What a guard knows to which one control process has named entries 1 and 2.
fn named_by_one() -> ChosenEntries {
    let mut chosen = ChosenEntries::default();
    chosen.set_entries(CONTROL, entries([1, 2]));
    chosen
}

#[test]
fn an_entry_is_wanted_that_any_control_process_names() {
    let mut chosen = named_by_one();

    chosen.set_entries(OTHER_CONTROL, entries([2, 3]));

    assert_eq!(*chosen.wanted(), entries([1, 2, 3]));
}

/// Lets a guard look which of the entries that it dials and is connected to it leaves, each 100 ms up to `until_ms`; returns the last.
fn look_until(
    chosen: &mut ChosenEntries,
    connected: &BTreeSet<SocketAddr>,
    from_ms: u64,
    until_ms: u64,
) -> BTreeSet<SocketAddr> {
    let looks = (from_ms..=until_ms).step_by(100);
    let left = looks.map(|ms| chosen.list_unneeded(connected.clone(), connected, at(ms)));
    left.last().unwrap()
}

#[test]
fn what_was_named_last_holds_while_no_control_process_is_connected() {
    let mut chosen = named_by_one();

    chosen.remove_control(CONTROL);

    assert_eq!(*chosen.wanted(), entries([1, 2]));
}

#[test]
fn an_entry_is_left_when_none_has_named_it_for_three_seconds() {
    let mut chosen = named_by_one();
    let connected = entries([1, 2, 4]);

    let before = look_until(&mut chosen, &connected, 1_000, 3_900);
    let after = look_until(&mut chosen, &connected, 4_000, 4_000);

    assert_eq!(before, entries([]));
    assert_eq!(after, entries([4]));
}

#[test]
fn no_entry_is_left_before_all_that_are_named_are_connected() {
    let mut chosen = named_by_one();

    let without_one = look_until(&mut chosen, &entries([1, 4]), 1_000, 20_000);
    let soon_after = look_until(&mut chosen, &entries([1, 2, 4]), 20_100, 23_000);

    assert_eq!(without_one, entries([]));
    assert_eq!(soon_after, entries([]));
}

#[test]
fn a_control_process_that_sees_no_entry_makes_a_guard_leave_none() {
    let mut chosen = named_by_one();

    chosen.set_entries(CONTROL, entries([]));

    let left = look_until(&mut chosen, &entries([1, 2]), 1_000, 20_000);
    assert_eq!(left, entries([]));
}

#[test]
fn a_control_process_that_knows_little_yet_moves_no_links() {
    let mut chosen = named_by_one();
    let connected = entries([1, 2]);
    chosen.set_entries(CONTROL, entries([2]));
    let partly = look_until(&mut chosen, &connected, 1_000, 3_900);

    chosen.set_entries(CONTROL, entries([1, 2]));
    let named_again = look_until(&mut chosen, &connected, 4_000, 4_100);
    chosen.set_entries(CONTROL, entries([2]));
    let counted_anew = look_until(&mut chosen, &connected, 4_200, 7_000);

    assert_eq!(partly, entries([]));
    assert_eq!(named_again, entries([]));
    assert_eq!(counted_anew, entries([]));
}

#[test]
fn an_invitation_of_an_unnamed_entry_is_followed_only_without_control_processes() {
    let mut chosen = ChosenEntries::default();
    let before = chosen.accepts_invitation(entry(4));

    chosen.set_entries(CONTROL, entries([1]));

    assert!(before);
    assert!(!chosen.accepts_invitation(entry(4)));
    assert!(chosen.accepts_invitation(entry(1)));
    chosen.remove_control(CONTROL);
    assert!(chosen.accepts_invitation(entry(4)));
}

#[test]
fn an_entry_is_left_in_steps_and_only_when_its_runs_have_ended() {
    let mut departures = LinkDrains::default();
    let mut step = |has_runs, ms| departures.advance(ENTRY_LINK, true, has_runs, at(ms));

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
fn an_entry_that_is_named_again_before_the_farewell_is_kept() {
    let mut departures = LinkDrains::default();
    departures.advance(ENTRY_LINK, true, true, at(0));

    let named_again = departures.advance(ENTRY_LINK, false, true, at(100));
    let later = departures.advance(ENTRY_LINK, false, true, at(5_000));

    assert_eq!(named_again, LinkDrainStep::ResumeOffering);
    assert_eq!(later, LinkDrainStep::NoChange);
}
