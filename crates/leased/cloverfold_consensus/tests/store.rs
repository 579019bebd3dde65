//! Tests of the store: synced records survive restarts, torn tails and failed rewrites.

#![allow(clippy::unwrap_used)]

use std::fs::OpenOptions;
use std::io::Write;

use cloverfold_consensus::{DiskIdentity, Entry, Payload, Record, Snapshot, Store};

fn entry(index: u64) -> Record {
    Record::Entry(Entry {
        index,
        term: 1,
        payload: Payload::Command(vec![index as u8; 40]),
    })
}

fn indexes(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.index).collect()
}

#[test]
fn appended_records_survive_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, empty) = Store::open(folder.path()).unwrap();
    assert!(empty.identity.is_none());
    store
        .append(&[Record::Identity {
            id: 9,
            may_bootstrap: true,
        }])
        .unwrap();
    store
        .append(&[
            Record::HardState {
                term: 4,
                voted_for: Some(9),
            },
            entry(1),
            entry(2),
            entry(3),
        ])
        .unwrap();
    store
        .append(&[Record::Truncate { from: 3 }, entry(3)])
        .unwrap();
    drop(store);

    let (_, state) = Store::open(folder.path()).unwrap();

    assert_eq!(
        state.identity,
        Some(DiskIdentity {
            id: 9,
            may_bootstrap: true,
        })
    );
    assert_eq!((state.term, state.voted_for), (4, Some(9)));
    assert_eq!(indexes(&state.entries), [1, 2, 3]);
}

#[test]
fn a_torn_tail_of_any_length_is_truncated_and_earlier_records_survive() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("replica.log");
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(&[entry(1)]).unwrap();
    let valid_len = std::fs::metadata(&file).unwrap().len();
    store.append(&[entry(2)]).unwrap();
    drop(store);
    let whole = std::fs::read(&file).unwrap();

    for len in valid_len as usize..whole.len() {
        let mut torn = whole[..len].to_vec();
        if let Some(last) = torn
            .get_mut(len.saturating_sub(1))
            .filter(|_| len > valid_len as usize)
        {
            *last ^= 0x55;
        }
        std::fs::write(&file, &torn).unwrap();
        let (mut store, state) = Store::open(folder.path()).unwrap();
        assert_eq!(indexes(&state.entries), [1], "torn after {len} bytes");
        store.append(&[entry(2)]).unwrap();
        drop(store);
        let (_, state) = Store::open(folder.path()).unwrap();
        assert_eq!(indexes(&state.entries), [1, 2]);
    }
}

#[test]
fn records_from_the_first_corrupt_one_on_are_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("replica.log");
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(&[entry(1), entry(2)]).unwrap();
    drop(store);
    let mut bytes = std::fs::read(&file).unwrap();
    let last = bytes.len() - 3;
    bytes[last] ^= 1;
    std::fs::write(&file, &bytes).unwrap();

    let (_, state) = Store::open(folder.path()).unwrap();

    assert_eq!(indexes(&state.entries), [1]);
}

#[test]
fn rewriting_a_long_file_preserves_its_state() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store
        .append(&[Record::Identity {
            id: 3,
            may_bootstrap: false,
        }])
        .unwrap();
    let state = vec![7; 200_000];
    for index in 1..=60 {
        let snapshot = Snapshot {
            index,
            term: 1,
            state: state.clone(),
            ..Snapshot::default()
        };
        store
            .append(&[Record::Snapshot(snapshot), entry(index + 1)])
            .unwrap();
    }
    drop(store);

    let len = std::fs::metadata(folder.path().join("replica.log"))
        .unwrap()
        .len();
    let (_, state) = Store::open(folder.path()).unwrap();

    assert!(len < 6 * 1024 * 1024, "{len} bytes");
    assert_eq!(
        state.identity,
        Some(DiskIdentity {
            id: 3,
            may_bootstrap: false,
        })
    );
    assert_eq!(state.snapshot.index, 60);
    assert_eq!(indexes(&state.entries), [61]);
}

#[test]
fn an_incomplete_new_file_from_a_crash_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    store.append(&[entry(1)]).unwrap();
    drop(store);
    let mut options = OpenOptions::new();
    let mut incomplete = options
        .create(true)
        .append(true)
        .open(folder.path().join("replica.log.new"))
        .unwrap();
    incomplete.write_all(b"half a record").unwrap();

    let (_, state) = Store::open(folder.path()).unwrap();

    assert_eq!(indexes(&state.entries), [1]);
}

#[test]
fn appends_succeed_although_the_file_cannot_be_rewritten() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, _) = Store::open(folder.path()).unwrap();
    // A folder blocks the path of the new file, so that the rewrite fails as on a full disk.
    let blocker = folder.path().join("replica.log.new");
    std::fs::create_dir(&blocker).unwrap();
    let long = |index| {
        Record::Entry(Entry {
            index,
            term: 1,
            payload: Payload::Command(vec![0; 3 * 1024 * 1024]),
        })
    };

    store.append(&[long(1)]).unwrap();
    store.append(&[long(2)]).unwrap();
    store.append(&[Record::Truncate { from: 2 }]).unwrap();
    std::fs::remove_dir(&blocker).unwrap();
    store.append(&[long(2), long(3)]).unwrap();
    drop(store);

    let path = folder.path().join("replica.log");
    let len = std::fs::metadata(path).unwrap().len();
    assert!(len < 10 * 1024 * 1024, "the file is rewritten later: {len}");
    let (_, state) = Store::open(folder.path()).unwrap();
    assert_eq!(indexes(&state.entries), [1, 2, 3]);
}
