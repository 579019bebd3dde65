//! Evacuation orders in any sequence: the resulting state, the audit trail, and persistence over restarts and snapshots.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_evacuation::{
    EvacuatedHalls, EvacuationOrder, EvacuationState, HallChange, HallNameError, HallNames,
    OrderOutcome,
};
use proptest::prelude::*;

const HALLS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn order(id: u64, hall: &str, change: HallChange, based_on: u64) -> EvacuationOrder {
    EvacuationOrder {
        id,
        hall: hall.into(),
        change,
        based_on,
        source: "control-1".into(),
        received_at: Duration::from_millis(1_790_000_000_000 + id),
    }
}

fn evacuate(id: u64, based_on: u64) -> EvacuationOrder {
    order(id, "hall-a", HallChange::Evacuate, based_on)
}

fn take_back(id: u64, based_on: u64) -> EvacuationOrder {
    order(id, "hall-a", HallChange::TakeBack, based_on)
}

fn is_evacuated(state: &EvacuationState) -> bool {
    state.halls().contains("hall-a")
}

#[test]
fn the_last_taken_order_determines_the_state() {
    let mut state = EvacuationState::default();

    assert_eq!(state.apply(evacuate(1, 0), 10), OrderOutcome::Taken);
    assert!(is_evacuated(&state));
    assert_eq!(state.apply(take_back(2, 1), 11), OrderOutcome::Taken);
    assert!(!is_evacuated(&state));
    assert_eq!(state.apply(evacuate(3, 2), 12), OrderOutcome::Taken);
    assert!(is_evacuated(&state));
    assert_eq!(state.revision(), 3);
    assert_eq!(state.in_force()["hall-a"].index, 12);
}

#[test]
fn an_order_for_the_current_state_changes_nothing() {
    let mut state = EvacuationState::default();

    assert_eq!(state.apply(take_back(1, 0), 10), OrderOutcome::Repeated);
    state.apply(evacuate(2, 0), 11);
    assert_eq!(state.apply(evacuate(3, 1), 12), OrderOutcome::Repeated);

    assert_eq!(state.revision(), 1);
    assert_eq!(state.in_force()["hall-a"].index, 11);
}

#[test]
fn a_delayed_order_does_not_undo_a_later_one() {
    let mut state = EvacuationState::default();
    state.apply(evacuate(1, 0), 10);
    state.apply(take_back(2, 1), 11);

    let delayed = state.apply(evacuate(3, 1), 12);

    assert_eq!(delayed, OrderOutcome::Outdated);
    assert!(!is_evacuated(&state));
}

#[test]
fn an_old_order_resent_as_a_new_one_is_taken_and_audited() {
    let mut state = EvacuationState::default();
    state.apply(evacuate(1, 0), 10);
    state.apply(take_back(2, 1), 11);

    let resent = state.apply(evacuate(3, 2), 12);

    assert_eq!(resent, OrderOutcome::Taken);
    let outcomes: Vec<_> = state
        .audit()
        .map(|record| (record.order, record.outcome))
        .collect();
    assert_eq!(
        outcomes,
        [1, 2, 3].map(|order| (order, OrderOutcome::Taken))
    );
}

#[test]
fn an_order_that_is_in_the_log_twice_is_decided_once() {
    let mut state = EvacuationState::default();
    state.apply(evacuate(1, 0), 10);
    state.apply(take_back(2, 1), 11);

    assert_eq!(state.apply(evacuate(1, 0), 12), OrderOutcome::Taken);

    assert!(!is_evacuated(&state));
    assert_eq!(state.audit().count(), 2);
}

#[test]
fn the_audit_trail_is_bounded() {
    let mut state = EvacuationState::default();
    for id in 0..3_000 {
        let change = [HallChange::Evacuate, HallChange::TakeBack][id as usize % 2];
        state.apply(order(id, "hall-a", change, state.revision()), id);
    }

    assert_eq!(state.audit().count(), 1_024);
    assert_eq!(state.revision(), 3_000);
}

#[test]
fn hall_names_are_validated() {
    let names = HallNames::new(["hall-a".to_owned(), "hall-b".to_owned()]);

    assert_eq!(names.check("hall-b"), Ok(()));
    for name in ["", "a/b", "a b", "höll", &"x".repeat(129)] {
        assert_eq!(names.check(name), Err(HallNameError::Malformed), "{name}");
    }
    let unknown = names.check("hall-x").unwrap_err();
    assert_eq!(
        unknown.to_string(),
        "no data hall hall-x in this installation; it has: hall-a, hall-b"
    );
    assert_eq!(HallNames::default().check("hall-x"), Ok(()));
}

#[test]
fn the_known_halls_never_revert_to_an_older_revision() {
    let halls_at = |revision, halls: &[&str]| EvacuatedHalls {
        revision,
        halls: halls.iter().map(|hall| (*hall).to_owned()).collect(),
    };
    let mut known = EvacuatedHalls::default();

    assert!(known.update(halls_at(2, &["hall-a"])));
    assert!(!known.update(halls_at(1, &[])));
    assert!(!known.update(halls_at(2, &["hall-b"])));

    assert_eq!(known, halls_at(2, &["hall-a"]));
}

fn any_orders() -> impl Strategy<Value = Vec<EvacuationOrder>> {
    let change = prop_oneof![Just(HallChange::Evacuate), Just(HallChange::TakeBack)];
    let fields = (0_u64..12, 0_usize..3, change, 0_u64..8);
    let any_order =
        fields.prop_map(|(id, hall, change, based_on)| order(id, HALLS[hall], change, based_on));
    prop::collection::vec(any_order, 0..40)
}

proptest! {
    #[test]
    fn the_last_taken_order_of_each_hall_survives_snapshots_and_restarts(orders in any_orders(), restart_interval in 1_usize..5) {
        let mut state = EvacuationState::default();
        let mut expected = std::collections::BTreeMap::new();
        let mut revision = 0;
        let mut decided = std::collections::BTreeSet::new();
        for (index, order) in orders.into_iter().enumerate() {
            let (id, hall, change) = (order.id, order.hall.clone(), order.change);
            let outcome = state.apply(order, index as u64);
            if decided.insert(id) && outcome == OrderOutcome::Taken {
                expected.insert(hall, change);
                revision += 1;
            }
            if index % restart_interval == 0 {
                state = EvacuationState::decode(&state.encode()).unwrap();
            }
        }

        let evacuated = expected.into_iter().filter(|(_, change)| *change == HallChange::Evacuate);
        let evacuated: std::collections::BTreeSet<String> = evacuated.map(|(hall, _)| hall).collect();
        prop_assert_eq!(state.halls().halls, evacuated);
        prop_assert_eq!(state.revision(), revision);
    }

    #[test]
    fn a_process_ends_at_the_newest_revision_whatever_the_arrival_order(revisions in prop::collection::vec(0_u64..50, 1..30)) {
        let newest = *revisions.iter().max().unwrap();
        let mut known = EvacuatedHalls::default();

        let mut before = 0;
        for revision in revisions {
            known.update(EvacuatedHalls { revision, halls: [format!("hall-{revision}")].into() });
            prop_assert!(known.revision >= before);
            before = known.revision;
        }

        prop_assert_eq!(known.revision, newest);
    }
}
