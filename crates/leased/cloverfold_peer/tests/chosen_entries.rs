//! Which entries a guard works with, as control processes name them, and how it leaves one.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;
use cloverfold_peer::{ChosenEntries, DepartureStep, Departures};

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
    chosen.record_named(CONTROL, entries([1, 2]));
    chosen
}

#[test]
fn an_entry_is_wanted_that_any_control_process_names() {
    let mut chosen = named_by_one();

    chosen.record_named(OTHER_CONTROL, entries([2, 3]));

    assert_eq!(*chosen.wanted(), entries([1, 2, 3]));
}

#[test]
fn what_was_named_last_holds_while_no_control_process_is_connected() {
    let mut chosen = named_by_one();

    chosen.forget_control(CONTROL);

    assert_eq!(*chosen.wanted(), entries([1, 2]));
    assert_eq!(chosen.list_left(entries([1, 4]), at(0)), entries([]));
    assert_eq!(chosen.list_left(entries([1, 4]), at(60_000)), entries([]));
}

#[test]
fn an_entry_is_left_when_none_has_named_it_for_three_seconds() {
    let mut chosen = named_by_one();
    let dialed = entries([1, 2, 4]);

    let at_once = chosen.list_left(dialed.clone(), at(1_000));
    let before = chosen.list_left(dialed.clone(), at(3_999));
    let after = chosen.list_left(dialed, at(4_000));

    assert_eq!(at_once, entries([]));
    assert_eq!(before, entries([]));
    assert_eq!(after, entries([4]));
}

#[test]
fn a_control_process_that_knows_little_yet_moves_no_links() {
    let mut chosen = named_by_one();
    chosen.list_left(entries([1, 2]), at(1_000));
    chosen.record_named(CONTROL, entries([2]));
    chosen.list_left(entries([1, 2]), at(1_100));
    chosen.list_left(entries([1, 2]), at(4_000));

    chosen.record_named(CONTROL, entries([1, 2]));
    let named_again = chosen.list_left(entries([1, 2]), at(4_090));
    chosen.record_named(CONTROL, entries([2]));
    let counted_anew = chosen.list_left(entries([1, 2]), at(4_200));

    assert_eq!(named_again, entries([]));
    assert_eq!(counted_anew, entries([]));
}

#[test]
fn an_invitation_of_an_unnamed_entry_is_followed_only_without_control_processes() {
    let mut chosen = ChosenEntries::default();
    let before = chosen.accepts_invitation(entry(4));

    chosen.record_named(CONTROL, entries([1]));

    assert!(before);
    assert!(!chosen.accepts_invitation(entry(4)));
    assert!(chosen.accepts_invitation(entry(1)));
    chosen.forget_control(CONTROL);
    assert!(chosen.accepts_invitation(entry(4)));
}

#[test]
fn an_entry_is_left_in_steps_and_only_when_its_runs_have_ended() {
    let mut departures = Departures::default();
    let mut step = |has_runs, ms| departures.advance(ENTRY_LINK, true, has_runs, at(ms));

    let steps = [
        step(true, 0),
        step(false, 499),
        step(true, 900),
        step(false, 920),
        step(false, 940),
    ];

    use DepartureStep::{Close, Retire, SayGoodbye, Stay};
    assert_eq!(steps, [Retire, Stay, Stay, SayGoodbye, Close]);
}

#[test]
fn an_entry_that_is_named_again_before_the_farewell_is_kept() {
    let mut departures = Departures::default();
    departures.advance(ENTRY_LINK, true, true, at(0));

    let named_again = departures.advance(ENTRY_LINK, false, true, at(100));
    let later = departures.advance(ENTRY_LINK, false, true, at(5_000));

    assert_eq!(named_again, DepartureStep::Restore);
    assert_eq!(later, DepartureStep::Stay);
}
