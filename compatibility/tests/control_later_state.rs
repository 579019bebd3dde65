//! Groups of kept jobs and upkeep as a control process stores them, compared with recorded bytes and as older builds decode them.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_configuration::{ConfigurationState, Proposal, StoredConfiguration};
use cloverfold_control::{Command, ReplicatedState};
use cloverfold_evacuation::{EvacuationOrder, EvacuationState, HallChange};
use cloverfold_kept_jobs::{Founder, JobGroups};
use cloverfold_upkeep::{UpkeepCommand, WaveOrder};
use support::{assert_recorded, read_or_record};

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

fn evacuation() -> EvacuationOrder {
    EvacuationOrder {
        id: 1,
        hall: "hall-a".into(),
        change: HallChange::Evacuate,
        based_on: 0,
        source: "control-a".into(),
        received_at: Duration::new(1_790_000_301, 123_456_789),
    }
}

fn founder(replica: u64, last: u8) -> Founder {
    Founder {
        replica,
        address: SocketAddr::from(([10, 20, 30, last], 7_720)),
    }
}

fn groups() -> JobGroups {
    JobGroups {
        count: 3,
        founders: vec![founder(400_000, 1), founder(5, 2)],
    }
}

fn wave_command() -> UpkeepCommand {
    UpkeepCommand::Order(order())
}

fn order() -> WaveOrder {
    WaveOrder {
        wave: 7,
        boxes: ["box-8".to_owned(), "box-9".to_owned()].into(),
        span: Duration::from_millis(20_500),
        most_down: 2,
        source: "control-a".into(),
        received_at: Duration::new(1_790_000_302, 123_456_789),
    }
}

/// Returns a state with a configuration and groups of kept jobs.
fn state_with_groups() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    state.configuration.apply(proposal());
    state.job_groups = Some(groups());
    state
}

#[test]
fn commands_are_encoded_as_recorded() {
    let cases = [
        (
            "control-disk/job-groups-command.bin",
            Command::JobGroups(groups()),
        ),
        (
            "control-disk/wave-command.bin",
            Command::Upkeep(wave_command()),
        ),
    ];
    for (fixture, command) in cases {
        let bytes = command.clone().encode().unwrap();

        assert_recorded(fixture, &bytes);
        let recorded = read_or_record(fixture, &bytes);
        assert_eq!(Command::decode(&recorded).unwrap(), command);
    }
}

#[test]
fn a_state_with_groups_is_encoded_as_recorded() {
    let fixture = "control-disk/state-job-groups.bin";
    let state = state_with_groups();
    let bytes = state.encode();

    assert_recorded(fixture, &bytes);
    let recorded = read_or_record(fixture, &bytes);
    assert_eq!(ReplicatedState::decode(&recorded).unwrap(), state);
}

/// Returns a state with a wave whose boxes are in every phase.
fn state_with_a_wave() -> ReplicatedState {
    let mut state = state_with_groups();
    let names = ["called", "begun", "back", "gone", "refused", "waiting"];
    let mut order = order();
    order.boxes = names.iter().map(|name| (*name).to_owned()).collect();
    let order = UpkeepCommand::Order(order);
    let call = |name: &str| UpkeepCommand::Call {
        wave: 7,
        name: name.into(),
    };
    let begun = |name: &str| UpkeepCommand::Begun {
        wave: 7,
        name: name.into(),
    };
    let name = "back".to_owned();
    let back = UpkeepCommand::Back { wave: 7, name };
    let name = "gone".to_owned();
    let gone = UpkeepCommand::Gone { wave: 7, name };
    let name = "refused".to_owned();
    let refused = UpkeepCommand::Refused { wave: 7, name };
    let called = ["called", "begun", "back", "refused"].map(call);
    let begun = ["begun", "back"].map(begun);
    let commands = [order.clone(), order].into_iter().chain(called);
    let commands = commands.chain(begun).chain([back, gone, refused]);
    for (index, command) in commands.enumerate() {
        state.upkeep.apply(command, 70_000 + index as u64);
    }
    state
}

#[test]
fn a_state_with_a_wave_is_encoded_as_recorded() {
    let fixture = "control-disk/state-wave.bin";
    let state = state_with_a_wave();
    let bytes = state.encode();

    assert_recorded(fixture, &bytes);
    let recorded = read_or_record(fixture, &bytes);
    assert_eq!(ReplicatedState::decode(&recorded).unwrap(), state);
}

#[test]
fn older_builds_decode_the_parts_of_a_state_that_they_know() {
    let mut state = state_with_groups();
    state.evacuations.apply(evacuation(), 70_000);
    let bytes = state.encode();

    let configuration = ConfigurationState::decode(&bytes).unwrap();
    let (_, rest) = postcard::take_from_bytes::<ConfigurationState>(&bytes).unwrap();
    let evacuations = EvacuationState::decode(rest).unwrap();

    assert_eq!(configuration, state.configuration);
    assert_eq!(evacuations, state.evacuations);
}

#[test]
fn an_older_build_skips_commands_that_it_does_not_know() {
    for command in [
        Command::JobGroups(groups()),
        Command::Upkeep(wave_command()),
    ] {
        let bytes = command.encode().unwrap();

        assert!(postcard::from_bytes::<Proposal>(&bytes).is_err());
    }
}
