//! Rules of log replication on a follower.

use std::time::Duration;

use cloverfold_consensus::{
    InstallSnapshot, Message, Record, ReplicaConfig, Snapshot, SnapshotPart,
};

use crate::fixtures::{NOW, append, append_reply, entry, members, replica, replica_with};

#[test]
fn entries_are_acknowledged_once_they_are_synced() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3), entry(4, 3)], 2), NOW);
    let ready = replica.take_ready();
    assert_eq!(
        append_reply(&ready.messages).index,
        2,
        "only the entries from before are synced"
    );

    replica.mark_synced(ready.batch.unwrap(), NOW);

    assert_eq!(append_reply(&replica.take_ready().messages).index, 4);
}

#[test]
fn entries_of_an_earlier_leader_are_not_acknowledged_to_the_next() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3), entry(4, 3)], 2), NOW);
    let ready = replica.take_ready();

    replica.receive(3, append(4, (2, 3), Vec::new(), 2), NOW);
    replica.take_ready();
    replica.mark_synced(ready.batch.unwrap(), NOW);

    assert_eq!(append_reply(&replica.take_ready().messages).index, 2);
}

#[test]
fn conflicting_entries_are_replaced_and_their_sync_acknowledges_nothing() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3), entry(4, 3)], 2), NOW);
    let first = replica.take_ready();
    replica.receive(3, append(4, (2, 3), vec![entry(3, 4)], 2), NOW);
    let second = replica.take_ready();

    replica.mark_synced(first.batch.unwrap(), NOW);
    assert_eq!(
        append_reply(&replica.take_ready().messages).index,
        2,
        "the new entry is not synced"
    );
    replica.mark_synced(second.batch.unwrap(), NOW);

    assert_eq!(append_reply(&replica.take_ready().messages).index, 3);
    assert_eq!(replica.status().last_index, 3);
}

#[test]
fn a_snapshot_of_existing_entries_keeps_the_entries_after_it() {
    let mut replica = replica(3, &[3, 3, 3]);
    let snapshot = Snapshot {
        index: 3,
        term: 3,
        members: members(),
        state: vec![1],
    };
    let install = InstallSnapshot {
        term: 3,
        snapshot,
        round: 4,
    };

    replica.receive(2, Message::InstallSnapshot(install), NOW);

    let ready = replica.take_ready();
    assert_eq!(replica.status().last_index, 4);
    assert!(ready.restored.is_none());
    assert_eq!(replica.status().commit, 3);
}

#[test]
fn the_commit_index_is_recorded_and_no_message_waits_for_it() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), Vec::new(), 2), NOW);

    let ready = replica.take_ready();

    assert!(ready.records.contains(&Record::Commit { index: 2 }));
    assert_eq!(append_reply(&ready.messages).index, 2);
    assert!(ready.messages.iter().all(|outgoing| !outgoing.after_sync));
}

#[test]
fn a_delayed_commit_index_is_recorded_with_the_next_entry_or_after_the_delay() {
    let delay = Duration::from_millis(100);
    let config = ReplicaConfig {
        commit_delay: delay,
        ..ReplicaConfig::default()
    };
    let mut replica = replica_with(config, 3, &[3]);
    replica.receive(2, append(3, (2, 3), Vec::new(), 2), NOW);

    let alone = replica.take_ready();
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3)], 2), NOW);
    let with_an_entry = replica.take_ready();
    replica.receive(2, append(3, (3, 3), Vec::new(), 3), NOW);
    let again_alone = replica.take_ready();
    replica.tick(NOW + delay);
    let after_its_delay = replica.take_ready();

    assert_eq!((alone.batch, alone.records), (None, vec![]));
    let commit = |index| Record::Commit { index };
    let records = vec![Record::Entry(entry(3, 3)), commit(2)];
    assert_eq!(with_an_entry.records, records);
    assert_eq!(again_alone.records, []);
    assert_eq!(after_its_delay.records, [commit(3)]);
}

/// Returns a part of a snapshot whose complete state has `whole` bytes.
fn part(offset: usize, state: &[u8], whole: usize) -> Message {
    Message::SnapshotPart(SnapshotPart {
        term: 3,
        snapshot: Snapshot {
            index: 9,
            term: 3,
            members: members(),
            state: state.to_vec(),
        },
        offset: offset as u64,
        len: whole as u64,
        round: 1,
    })
}

#[test]
fn a_snapshot_in_parts_is_installed_once_complete() {
    let mut replica = replica(3, &[3]);

    replica.receive(2, part(0, b"abc", 7), NOW);
    replica.receive(2, part(3, b"def", 7), NOW);
    assert!(replica.take_ready().restored.is_none());
    replica.receive(2, part(6, b"g", 7), NOW);

    let restored = replica.take_ready().restored.unwrap();
    assert_eq!(restored.state, b"abcdefg");
    assert_eq!(replica.status().commit, 9);
}

#[test]
fn a_snapshot_part_out_of_order_is_ignored() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, part(0, b"abc", 7), NOW);

    replica.receive(2, part(6, b"g", 7), NOW);
    replica.receive(2, part(0, b"abc", 7), NOW);
    replica.receive(2, part(3, b"def", 7), NOW);
    replica.receive(2, part(3, b"def", 7), NOW);
    assert!(replica.take_ready().restored.is_none());
    replica.receive(2, part(6, b"g", 7), NOW);

    assert_eq!(replica.take_ready().restored.unwrap().state, b"abcdefg");
}
