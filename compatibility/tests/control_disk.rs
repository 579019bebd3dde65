//! The data that a control process stores: the records of its replica, with the commands and states in them.
//!
//! Each fixture `control-disk/*.log` is a whole `replica.log` as [`Store::append`] writes it. Each `*.bin` is one encoded value, as in
//! the command of an entry or the state of a snapshot.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;
use std::fmt::Debug;
use std::fs;
use std::path::Path;
use std::time::Duration;

use cloverfold_configuration::{
    AuditRecord, ConfigurationState, Proposal, ProposalOutcome, StoredConfiguration,
};
use cloverfold_consensus::{
    DiskIdentity, Entry, Member, Members, Payload, Record, RecoveredState, Snapshot, Store,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use support::{assert_recorded, read_or_record};
use tempfile::TempDir;

const LOG_FILE: &str = "replica.log";
const HISTORY: &str = "control-disk/history.log";
const TORN_HISTORY: &str = "control-disk/history-torn-tail.log";

/// Records to append to an empty store, and the state that the store recovers afterwards.
struct LogCase {
    fixture: &'static str,
    records: Vec<Record>,
    expected: RecoveredState,
}

/// Returns the fixture for a kind of record. A new variant or field fails the build here and needs a fixture and a case in
/// [`log_cases`].
fn fixture_of(record: &Record) -> &'static str {
    match record {
        Record::Identity {
            id: _,
            may_bootstrap: _,
        } => "control-disk/identity.log",
        Record::HardState {
            term: _,
            voted_for: _,
        } => "control-disk/hard-state.log",
        Record::Entry(Entry {
            index: _,
            term: _,
            payload,
        }) => match payload {
            Payload::Empty => "control-disk/entry-empty.log",
            Payload::Command(_) => "control-disk/entry-command.log",
            Payload::Members(Members { voters: _ }) => "control-disk/entry-members.log",
        },
        Record::Truncate { from: _ } => "control-disk/truncate.log",
        Record::Commit { index: _ } => "control-disk/commit.log",
        Record::Snapshot(Snapshot {
            index: _,
            term: _,
            members: _,
            state: _,
        }) => "control-disk/snapshot.log",
    }
}

/// Returns the fixture for an audit record with this outcome. A new variant fails the build here and needs a fixture and an entry in
/// [`outcomes`].
fn fixture_of_outcome(outcome: ProposalOutcome) -> &'static str {
    match outcome {
        ProposalOutcome::Taken => "control-disk/audit-taken.bin",
        ProposalOutcome::Repeated => "control-disk/audit-repeated.bin",
        ProposalOutcome::Outdated => "control-disk/audit-outdated.bin",
        ProposalOutcome::Conflicting => "control-disk/audit-conflicting.bin",
    }
}

/// Returns every outcome.
fn outcomes() -> [ProposalOutcome; 4] {
    [
        ProposalOutcome::Taken,
        ProposalOutcome::Repeated,
        ProposalOutcome::Outdated,
        ProposalOutcome::Conflicting,
    ]
}

/// Returns three voters, with addresses of both families.
fn three_members() -> Members {
    let member = |id, address: &str| Member {
        id,
        address: address.parse().unwrap(),
    };
    Members {
        voters: vec![
            member(1, "192.0.2.1:7400"),
            member(300, "[2001:db8::2]:7400"),
            member(u64::MAX, "192.0.2.3:65535"),
        ],
    }
}

/// Returns the three members without the last one.
fn two_members() -> Members {
    three_members().without(u64::MAX)
}

fn proposal(version: u64, text: &str) -> Proposal {
    Proposal {
        configuration: StoredConfiguration {
            version,
            text: text.as_bytes().into(),
        },
        source: "control-a".into(),
        received_at: Duration::new(1_790_000_000 + version, 123_456_789),
    }
}

/// Returns proposals that together produce every outcome.
fn proposals() -> [Proposal; 5] {
    [
        proposal(1, r#"{"Version":1}"#),
        proposal(300, r#"{"Version":300}"#),
        proposal(300, r#"{"Version":300}"#),
        proposal(2, r#"{"Version":2}"#),
        proposal(300, r#"{"Version":300,"Routes":[]}"#),
    ]
}

/// Returns the state after these proposals.
fn state_after(proposals: &[Proposal]) -> ConfigurationState {
    let mut state = ConfigurationState::default();
    for proposal in proposals {
        state.apply(proposal.clone());
    }
    state
}

fn audit_record(outcome: ProposalOutcome) -> AuditRecord {
    AuditRecord {
        version: 300,
        version_before: 299,
        outcome,
        source: "control-a".into(),
        received_at: Duration::new(1_790_000_000, 123_456_789),
        digest: *b"0123456789abcdef",
        text_len: 70_000,
        text_len_before: 12,
    }
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap()
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        index,
        term,
        payload,
    }
}

fn command(index: u64, term: u64, proposal: &Proposal) -> Entry {
    entry(index, term, Payload::Command(encode(proposal)))
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 70_000,
        term: 300,
        members: three_members(),
        state: state_after(&proposals()).encode(),
    }
}

/// Returns a case for each kind of record.
fn log_cases() -> Vec<LogCase> {
    let of_entry = |entry: Entry| {
        let expected = RecoveredState {
            entries: vec![entry.clone()],
            ..RecoveredState::default()
        };
        (vec![Record::Entry(entry)], expected)
    };
    let cases = [
        (
            vec![Record::Identity {
                id: u64::MAX,
                may_bootstrap: true,
            }],
            RecoveredState {
                identity: Some(DiskIdentity {
                    id: u64::MAX,
                    may_bootstrap: true,
                }),
                ..RecoveredState::default()
            },
        ),
        (
            vec![
                Record::HardState {
                    term: 300,
                    voted_for: None,
                },
                Record::HardState {
                    term: 301,
                    voted_for: Some(70_000),
                },
            ],
            RecoveredState {
                term: 301,
                voted_for: Some(70_000),
                ..RecoveredState::default()
            },
        ),
        of_entry(entry(70_000, 300, Payload::Empty)),
        of_entry(command(70_000, 300, &proposals()[1])),
        of_entry(entry(70_000, 300, Payload::Members(three_members()))),
        (
            vec![Record::Truncate { from: 70_000 }],
            RecoveredState::default(),
        ),
        (
            vec![Record::Commit { index: 70_000 }],
            RecoveredState {
                commit: 70_000,
                ..RecoveredState::default()
            },
        ),
        (
            vec![Record::Snapshot(snapshot())],
            RecoveredState {
                snapshot: snapshot(),
                ..RecoveredState::default()
            },
        ),
    ];
    let name = |(records, expected): (Vec<Record>, _)| LogCase {
        fixture: fixture_of(&records[0]),
        records,
        expected,
    };
    cases.into_iter().map(name).collect()
}

/// Returns the batches of a replica that bootstraps a group, is elected, accepts proposals, changes the members, truncates an entry that
/// conflicts with a later leader, and compacts the log into a snapshot.
fn history_batches() -> Vec<Vec<Record>> {
    let hard_state = |term, voted_for| Record::HardState { term, voted_for };
    let [first, second, repeated, ..] = proposals();
    vec![
        vec![Record::Identity {
            id: 300,
            may_bootstrap: true,
        }],
        vec![
            hard_state(1, None),
            Record::Snapshot(Snapshot {
                index: 1,
                term: 1,
                members: three_members(),
                state: ConfigurationState::default().encode(),
            }),
        ],
        vec![hard_state(2, Some(300))],
        vec![Record::Entry(entry(2, 2, Payload::Empty))],
        vec![
            Record::Commit { index: 2 },
            Record::Entry(command(3, 2, &first)),
        ],
        vec![
            Record::Commit { index: 3 },
            Record::Entry(entry(4, 2, Payload::Members(two_members()))),
            Record::Entry(command(5, 2, &proposal(9, "never committed"))),
        ],
        vec![hard_state(3, None), Record::Truncate { from: 5 }],
        vec![
            Record::Entry(entry(5, 3, Payload::Empty)),
            Record::Entry(command(6, 3, &second)),
            Record::Commit { index: 6 },
        ],
        vec![
            Record::Snapshot(history_snapshot()),
            Record::Entry(command(6, 3, &second)),
        ],
        vec![
            Record::Entry(command(7, 3, &repeated)),
            Record::Entry(entry(8, 3, Payload::Members(three_members()))),
            Record::Commit { index: 7 },
        ],
    ]
}

/// Returns the last snapshot in the history.
fn history_snapshot() -> Snapshot {
    Snapshot {
        index: 5,
        term: 3,
        members: two_members(),
        state: state_after(&proposals()[..1]).encode(),
    }
}

/// Returns the state that a store recovers from the history.
fn history_state() -> RecoveredState {
    let [_, second, repeated, ..] = proposals();
    RecoveredState {
        identity: Some(DiskIdentity {
            id: 300,
            may_bootstrap: true,
        }),
        term: 3,
        voted_for: None,
        commit: 7,
        snapshot: history_snapshot(),
        entries: vec![
            command(6, 3, &second),
            command(7, 3, &repeated),
            entry(8, 3, Payload::Members(three_members())),
        ],
    }
}

/// Appends batches to an empty store and returns the bytes of its log.
fn write_log(batches: &[Vec<Record>]) -> Vec<u8> {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    for batch in batches {
        store.append(batch).unwrap();
    }
    read_log(folder.path())
}

/// Returns the history followed by half of another record.
fn write_torn_history() -> Vec<u8> {
    let mut bytes = write_log(&history_batches());
    let next_entry = write_log(&[vec![Record::Entry(command(9, 3, &proposals()[3]))]]);
    bytes.extend_from_slice(&next_entry[..next_entry.len() / 2]);
    bytes
}

fn read_log(folder: &Path) -> Vec<u8> {
    fs::read(folder.join(LOG_FILE)).unwrap()
}

/// Copies a recorded file to a new folder, from which a store can open it.
fn copy_log(recorded: &[u8]) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join(LOG_FILE), recorded).unwrap();
    folder
}

/// Asserts that a value encodes to the recorded bytes and decodes from them.
fn assert_value_recorded<T>(fixture: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let bytes = encode(value);

    assert_recorded(fixture, &bytes);
    let recorded = read_or_record(fixture, &bytes);
    assert_eq!(&postcard::from_bytes::<T>(&recorded).unwrap(), value);
}

/// Asserts that there is a sample of each variant of an enum: the variant indices of the samples run from 0 without a gap, and the next
/// index does not decode.
fn assert_all_variants<T: Serialize + DeserializeOwned>(samples: &[T]) {
    let indices: BTreeSet<u8> = samples.iter().map(|sample| encode(sample)[0]).collect();
    let next = indices.len() as u8;
    // Zeros decode as valid values of nearly every type.
    let mut unknown = vec![next];
    unknown.resize(256, 0);

    assert!(indices.into_iter().eq(0..next), "a variant has no sample");
    assert!(
        postcard::from_bytes::<T>(&unknown).is_err(),
        "variant {next} has no sample"
    );
}

#[test]
fn each_kind_of_record_is_written_as_recorded() {
    for case in log_cases() {
        let bytes = write_log(&[case.records]);

        assert_recorded(case.fixture, &bytes);
    }
}

#[test]
fn each_kind_of_record_is_read_from_its_recorded_file() {
    for case in log_cases() {
        let recorded = read_or_record(case.fixture, &write_log(&[case.records]));
        let folder = copy_log(&recorded);

        let (_store, state) = Store::open(folder.path()).unwrap();

        assert_eq!(state, case.expected, "{}", case.fixture);
        let log_after_open = read_log(folder.path());
        assert_eq!(
            log_after_open, recorded,
            "{}: the log was truncated",
            case.fixture
        );
    }
}

#[test]
fn each_case_has_its_own_fixture_with_one_kind_of_record() {
    let cases = log_cases();

    let fixtures: BTreeSet<&str> = cases.iter().map(|case| case.fixture).collect();

    assert_eq!(fixtures.len(), cases.len());
    for case in cases {
        for record in &case.records {
            assert_eq!(fixture_of(record), case.fixture);
        }
    }
}

#[test]
fn there_is_a_sample_of_each_record_payload_and_outcome() {
    let records: Vec<Record> = log_cases()
        .into_iter()
        .flat_map(|case| case.records)
        .collect();
    let payload_of = |record: &Record| match record {
        Record::Entry(entry) => Some(entry.payload.clone()),
        _ => None,
    };
    let payloads: Vec<Payload> = records.iter().filter_map(payload_of).collect();

    assert_all_variants(&records);
    assert_all_variants(&payloads);
    assert_all_variants(&outcomes());
}

#[test]
fn a_whole_history_is_written_as_recorded() {
    let bytes = write_log(&history_batches());

    assert_recorded(HISTORY, &bytes);
}

#[test]
fn a_recorded_history_is_recovered_completely() {
    let recorded = read_or_record(HISTORY, &write_log(&history_batches()));
    let folder = copy_log(&recorded);

    let (_store, state) = Store::open(folder.path()).unwrap();

    assert_eq!(state, history_state());
    assert_eq!(read_log(folder.path()), recorded, "the log was truncated");
}

#[test]
fn a_recorded_torn_tail_is_truncated() {
    let whole = read_or_record(HISTORY, &write_log(&history_batches()));
    let torn = read_or_record(TORN_HISTORY, &write_torn_history());
    let folder = copy_log(&torn);

    let (_store, state) = Store::open(folder.path()).unwrap();

    assert!(torn.len() > whole.len());
    assert_eq!(state, history_state());
    assert_eq!(read_log(folder.path()), whole);
}

#[test]
fn a_store_appends_to_a_recorded_history() {
    let recorded = read_or_record(TORN_HISTORY, &write_torn_history());
    let folder = copy_log(&recorded);
    let (mut store, mut expected) = Store::open(folder.path()).unwrap();
    let next_entry = command(9, 3, &proposals()[3]);

    store.append(&[Record::Entry(next_entry.clone())]).unwrap();

    expected.entries.push(next_entry);
    let (_store, state) = Store::open(folder.path()).unwrap();
    assert_eq!(state, expected);
}

#[test]
fn the_configuration_is_recovered_from_a_recorded_history() {
    let recorded = read_or_record(HISTORY, &write_log(&history_batches()));
    let folder = copy_log(&recorded);
    let (_store, recovered) = Store::open(folder.path()).unwrap();

    let mut state = ConfigurationState::decode(&recovered.snapshot.state).unwrap();
    for entry in &recovered.entries {
        if let Payload::Command(command) = &entry.payload {
            state.apply(postcard::from_bytes::<Proposal>(command).unwrap());
        }
    }

    assert_eq!(state, state_after(&proposals()[..3]));
}

#[test]
fn proposals_are_encoded_as_recorded() {
    let without_text = Proposal {
        configuration: StoredConfiguration {
            version: u64::MAX,
            text: [].into(),
        },
        ..proposal(0, "")
    };

    assert_value_recorded("control-disk/offer.bin", &proposals()[1]);
    assert_value_recorded("control-disk/offer-without-text.bin", &without_text);
}

#[test]
fn stored_configurations_are_encoded_as_recorded() {
    let stored = proposals()[1].configuration.clone();

    assert_value_recorded("control-disk/stored-configuration.bin", &stored);
}

#[test]
fn audit_records_are_encoded_as_recorded() {
    for outcome in outcomes() {
        assert_value_recorded(fixture_of_outcome(outcome), &audit_record(outcome));
    }
}

#[test]
fn states_are_encoded_as_recorded() {
    let cases = [
        ("control-disk/state-new.bin", ConfigurationState::default()),
        ("control-disk/state.bin", state_after(&proposals())),
    ];
    for (fixture, state) in cases {
        let bytes = state.encode();

        assert_recorded(fixture, &bytes);
        let recorded = read_or_record(fixture, &bytes);
        assert_eq!(ConfigurationState::decode(&recorded).unwrap(), state);
    }
}

#[test]
fn the_recorded_state_contains_each_audit_record() {
    let recorded = read_or_record(
        "control-disk/state.bin",
        &state_after(&proposals()).encode(),
    );

    let state = ConfigurationState::decode(&recorded).unwrap();

    let decisions: Vec<_> = state
        .audit()
        .map(|record| (record.version, record.version_before, record.outcome))
        .collect();
    let expected = [
        (1, 0, ProposalOutcome::Taken),
        (300, 1, ProposalOutcome::Taken),
        (300, 300, ProposalOutcome::Repeated),
        (2, 300, ProposalOutcome::Outdated),
        (300, 300, ProposalOutcome::Conflicting),
    ];
    assert_eq!(decisions, expected);
    assert_eq!(state.current(), Some(&proposals()[1].configuration));
}

#[test]
fn an_empty_text_is_the_state_of_a_new_installation() {
    let state = ConfigurationState::decode(&[]).unwrap();

    assert_eq!(state, ConfigurationState::default());
}
