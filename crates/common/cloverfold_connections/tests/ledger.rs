//! Which connections give way when a budget is used up.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_connections::{
    BudgetLimits, ConnectionId, Ledger, MIN_PROGRESS_BYTES, Phase, Reservation, STALL_TIMEOUT,
};

const KIB: usize = 1_024;
/// Memory of a connection from its start.
const OWN: usize = KIB;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(ms))
}

/// A time at which what progressed at 0 is stalled.
fn later() -> Timestamp {
    Timestamp::ZERO + STALL_TIMEOUT
}

fn ledger(connections: usize, bytes: usize) -> Ledger {
    Ledger::new(BudgetLimits { connections, bytes })
}

/// Opens a connection that is in a phase and holds `bytes` beyond its own.
fn open(ledger: &mut Ledger, phase: Phase, bytes: usize, now: Timestamp) -> ConnectionId {
    let id = ledger.open(OWN, now).unwrap();
    ledger.enter(id, phase, now);
    assert_eq!(ledger.take(id, bytes, now), Reservation::Granted);
    id
}

/// Fails if an idle connection is closed while another stands still in the middle of a message.
#[test]
fn the_longest_stalled_message_is_closed_first() {
    let mut ledger = ledger(10, 8 * KIB);
    open(&mut ledger, Phase::Idle, 0, at(0));
    let newer = open(&mut ledger, Phase::Receiving, 2 * KIB, at(2));
    let older = open(&mut ledger, Phase::Receiving, 2 * KIB, at(1));
    let asking = ledger.open(OWN, at(10_000)).unwrap();

    let first = ledger.take(asking, KIB, at(10_000));
    let closed_first = ledger.take_closures();
    let second = ledger.take(asking, 4 * KIB, at(10_000));
    let closed_second = ledger.take_closures();

    assert_eq!((first, closed_first), (Reservation::Wait, vec![older]));
    assert_eq!((second, closed_second), (Reservation::Wait, vec![newer]));
}

/// Fails if a request that is being handled is cut off to make room.
#[test]
fn a_connection_whose_request_is_handled_is_never_closed() {
    let mut ledger = ledger(1, 4 * KIB);
    let handled = open(&mut ledger, Phase::Handling, 2 * KIB, at(0));

    assert_eq!(ledger.open(OWN, later()), Err(Reservation::Refused));

    assert!(ledger.take_closures().is_empty());
    ledger.enter(handled, Phase::Responding, later());
    let stalled = later() + STALL_TIMEOUT;
    assert_eq!(ledger.open(OWN, stalled), Err(Reservation::Wait));
    assert_eq!(ledger.take_closures(), [handled]);
}

/// Fails if connections with large messages that make progress shut out small ones, or cut each other off.
#[test]
fn within_an_equal_share_a_connection_displaces_the_largest() {
    let mut ledger = ledger(10, 8 * KIB);
    let small = open(&mut ledger, Phase::Receiving, 0, at(0));
    let large = open(&mut ledger, Phase::Receiving, 4 * KIB, at(0));
    let medium = open(&mut ledger, Phase::Receiving, KIB, at(0));

    let refused = ledger.take(medium, 2 * KIB, at(1));
    let displacing = ledger.take(small, KIB, at(1));

    assert_eq!(refused, Reservation::Refused);
    assert_eq!(displacing, Reservation::Wait);
    assert_eq!(ledger.take_closures(), [large]);
}

/// Fails if a client keeps its place by sending single bytes.
#[test]
fn single_bytes_are_no_progress() {
    let mut ledger = ledger(2, 8 * KIB);
    let trickling = open(&mut ledger, Phase::Receiving, 0, at(0));
    let flowing = open(&mut ledger, Phase::Receiving, 0, at(0));
    ledger.record_received(trickling, MIN_PROGRESS_BYTES - 1, at(100));
    ledger.record_received(flowing, MIN_PROGRESS_BYTES, at(100));

    assert_eq!(ledger.open(OWN, later()), Err(Reservation::Wait));

    assert_eq!(ledger.take_closures(), [trickling]);
}

/// Fails if several that wait count on the same closing, and one of them then waits for nothing.
#[test]
fn a_second_attempt_closes_more_once_the_first_has_taken_the_room() {
    let mut ledger = ledger(2, 8 * KIB);
    let first = open(&mut ledger, Phase::Receiving, 0, at(0));
    let second = open(&mut ledger, Phase::Receiving, 0, at(1));
    for _ in 0..2 {
        assert_eq!(ledger.open(OWN, at(10_000)), Err(Reservation::Wait));
    }
    assert_eq!(ledger.take_closures(), [first]);

    ledger.give_back(first, OWN);
    ledger.remove(first);
    let opened = ledger.open(OWN, at(10_000));

    assert!(opened.is_ok());
    assert_eq!(ledger.open(OWN, at(10_000)), Err(Reservation::Wait));
    assert_eq!(ledger.take_closures(), [second]);
}

/// Fails if memory that outlives its connection is forgotten, or counted twice.
#[test]
fn memory_counts_until_it_is_given_back() {
    let mut ledger = ledger(2, 8 * KIB);
    let id = open(&mut ledger, Phase::Handling, 4 * KIB, at(0));

    ledger.give_back(id, OWN);
    ledger.remove(id);

    assert_eq!((ledger.connections(), ledger.held_bytes()), (0, 4 * KIB));
    ledger.give_back(id, 4 * KIB);
    assert_eq!(ledger.held_bytes(), 0);
}

/// Fails if a connection waits for memory that the budget never has.
#[test]
fn more_than_the_whole_budget_is_refused_at_once() {
    let mut ledger = ledger(2, 8 * KIB);
    let other = open(&mut ledger, Phase::Receiving, KIB, at(0));
    let asking = ledger.open(OWN, later()).unwrap();

    let refused = ledger.take(asking, 9 * KIB, later());

    assert_eq!(refused, Reservation::Refused);
    assert_eq!(ledger.phase(other), Some(Phase::Receiving));
    assert!(ledger.take_closures().is_empty());
}

/// Fails if large requests that are being handled, which are never closed, leave nothing for small ones.
#[test]
fn large_requests_that_are_handled_leave_room_for_small_ones() {
    let mut ledger = ledger(16, 32 * KIB);
    let mut handled = 0;
    for _ in 0..8 {
        let id = open(&mut ledger, Phase::Receiving, 5 * KIB, later());
        if ledger.begin_handling(id, later()) == Reservation::Refused {
            ledger.give_back(id, 6 * KIB);
            ledger.remove(id);
        } else {
            handled += 1;
        }
    }

    let small = ledger.open(OWN, later()).unwrap();

    assert_eq!(handled, 4, "three quarters of 32 KiB, 6 KiB each");
    assert_eq!(ledger.begin_handling(small, later()), Reservation::Granted);
    assert_eq!(ledger.take(small, KIB, later()), Reservation::Granted);
    assert_eq!(ledger.take(small, KIB, later()), Reservation::Refused);
}
