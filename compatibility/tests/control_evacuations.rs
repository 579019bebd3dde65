//! Evacuations as a control process stores them, compared with recorded bytes and as older builds decode them.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use cloverfold_configuration::{ConfigurationState, Proposal, StoredConfiguration};
use cloverfold_control::{Command, ReplicatedState};
use cloverfold_evacuation::{EvacuationOrder, HallChange};
use support::{assert_recorded, fixture_path, read_or_record};

fn order(id: u64, hall: &str, change: HallChange, based_on: u64) -> EvacuationOrder {
    EvacuationOrder {
        id,
        hall: hall.into(),
        change,
        based_on,
        source: "control-a".into(),
        received_at: Duration::new(1_790_000_000 + id, 123_456_789),
    }
}

fn proposal() -> Proposal {
    Proposal {
        configuration: StoredConfiguration {
            version: 300,
            text: br#"{"Version":300}"#[..].into(),
        },
        source: "control-a".into(),
        received_at: Duration::new(1_790_000_300, 123_456_789),
    }
}

/// Returns orders that together produce every outcome.
fn orders() -> [EvacuationOrder; 5] {
    [
        order(1, "hall-a", HallChange::Evacuate, 0),
        order(2, "hall-b", HallChange::Evacuate, 1),
        order(3, "hall-b", HallChange::Evacuate, 2),
        order(4, "hall-a", HallChange::TakeBack, 2),
        order(5, "hall-a", HallChange::Evacuate, 2),
    ]
}

/// Returns a state with a configuration after these orders.
fn state_after(orders: &[EvacuationOrder]) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    state.configuration.apply(proposal());
    for (index, order) in orders.iter().enumerate() {
        state
            .evacuations
            .apply(order.clone(), 70_000 + index as u64);
    }
    state
}

#[test]
fn orders_are_encoded_as_recorded() {
    let cases = [
        ("control-disk/evacuation-order.bin", &orders()[0]),
        ("control-disk/evacuation-order-take-back.bin", &orders()[3]),
    ];
    for (fixture, order) in cases {
        let command = Command::Evacuation(order.clone());
        let bytes = command.clone().encode().unwrap();

        assert_recorded(fixture, &bytes);
        let recorded = read_or_record(fixture, &bytes);
        assert_eq!(Command::decode(&recorded).unwrap(), command);
    }
}

#[test]
fn a_state_with_evacuations_is_encoded_as_recorded() {
    let fixture = "control-disk/state-evacuations.bin";
    let state = state_after(&orders());
    let bytes = state.encode();

    assert_recorded(fixture, &bytes);
    let recorded = read_or_record(fixture, &bytes);
    assert_eq!(ReplicatedState::decode(&recorded).unwrap(), state);
}

#[test]
fn proposals_and_states_without_evacuations_keep_their_encoding() {
    let recorded = std::fs::read(fixture_path("control-disk/offer.bin")).unwrap();
    let state = std::fs::read(fixture_path("control-disk/state.bin")).unwrap();

    let command = Command::decode(&recorded).unwrap();

    assert!(matches!(command, Command::Configuration(_)));
    assert_eq!(command.encode().unwrap(), recorded);
    let decoded = ReplicatedState::decode(&state).unwrap();
    assert_eq!(decoded.evacuations.revision(), 0);
    assert_eq!(decoded.encode(), state);
}

#[test]
fn an_older_build_skips_an_order_and_decodes_the_configuration_of_a_state() {
    let command = Command::Evacuation(orders()[0].clone());
    let state = state_after(&orders());

    let old_command = postcard::from_bytes::<Proposal>(&command.encode().unwrap());
    let old_state = ConfigurationState::decode(&state.encode());

    assert!(old_command.is_err(), "{old_command:?}");
    assert_eq!(old_state.unwrap(), state.configuration);
}

#[test]
fn truncated_commands_are_errors() {
    let bytes = Command::Evacuation(orders()[0].clone()).encode().unwrap();

    for len in 0..bytes.len() {
        assert!(Command::decode(&bytes[..len]).is_err(), "{len} bytes");
    }
}
