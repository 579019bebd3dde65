//! What a replica does with what it recovered.

use cloverfold_consensus::{
    LogIndex, ReadOutcome, RecoveredState, Replica, ReplicaConfig, Snapshot,
};

use crate::fixtures::{NOW, entry, members};

#[test]
fn a_replica_that_starts_applies_what_it_knew_to_be_committed_before_there_is_a_leader() {
    let state = RecoveredState {
        term: 3,
        commit: 3,
        snapshot: Snapshot {
            index: 1,
            term: 1,
            members: members(),
            state: Vec::new(),
        },
        entries: vec![entry(2, 3), entry(3, 3), entry(4, 3)],
        ..RecoveredState::default()
    };
    let mut replica = Replica::new(1, ReplicaConfig::default(), state, 5, NOW);

    let committed: Vec<LogIndex> = replica
        .take_ready()
        .committed
        .iter()
        .map(|e| e.index)
        .collect();

    assert_eq!(committed, [2, 3], "the last entry may yet be replaced");
    replica.begin_read(7, NOW);
    assert_eq!(
        replica.take_ready().reads,
        [ReadOutcome {
            token: 7,
            index: None
        }],
        "a read still wants proof"
    );
}
