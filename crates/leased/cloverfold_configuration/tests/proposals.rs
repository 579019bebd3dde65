//! Tests of proposals and the audit trail.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_configuration::{
    ConfigurationState, Proposal, ProposalOutcome, StoredConfiguration,
};

fn proposal(version: u64, text: &str) -> Proposal {
    Proposal {
        configuration: StoredConfiguration {
            version,
            text: text.as_bytes().into(),
        },
        source: "control-1".into(),
        received_at: Duration::from_secs(1),
    }
}

fn state_with(version: u64, text: &str) -> ConfigurationState {
    let mut state = ConfigurationState::default();
    state.apply(proposal(version, text));
    state
}

#[test]
fn only_a_higher_version_comes_into_force() {
    let cases = [
        (6, "other", ProposalOutcome::Taken, 6),
        (5, "text", ProposalOutcome::Repeated, 5),
        (5, "other", ProposalOutcome::Conflicting, 5),
        (4, "text", ProposalOutcome::Outdated, 5),
    ];
    for (version, text, expected, version_after) in cases {
        let mut state = state_with(5, "text");

        let outcome = state.apply(proposal(version, text));

        assert_eq!(outcome, expected, "version {version}");
        assert_eq!(state.version(), version_after, "version {version}");
    }
}

#[test]
fn every_proposal_is_recorded_with_the_previous_version() {
    let mut state = state_with(5, "text");

    state.apply(proposal(4, "late"));

    let records: Vec<_> = state.audit().collect();
    assert_eq!(records.len(), 2);
    assert_eq!(records[1].version, 4);
    assert_eq!(records[1].version_before, 5);
    assert_eq!(records[1].outcome, ProposalOutcome::Outdated);
    assert_eq!(records[1].text_len, 4);
    assert_eq!(records[1].text_len_before, 4);
}

#[test]
fn a_state_survives_encoding_and_decoding() {
    let state = state_with(5, "text");

    let decoded = ConfigurationState::decode(&state.encode()).unwrap();

    assert_eq!(decoded, state);
}

#[test]
fn empty_input_decodes_to_the_state_of_a_new_installation() {
    let state = ConfigurationState::decode(&[]).unwrap();

    assert_eq!(state.version(), 0);
    assert!(state.current().is_none());
}
