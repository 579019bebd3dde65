//! Rules of a replica that starts from recovered state.

use cloverfold_consensus::{
    LogIndex, ReadOutcome, RecoveredState, Replica, ReplicaConfig, Snapshot,
};

use crate::fixtures::{NOW, entry, members};

#[test]
fn a_restarted_replica_applies_recorded_commits_before_a_leader_exists() {
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

    assert_eq!(committed, [2, 3], "the last entry may still be replaced");
    replica.begin_read(7, NOW);
    assert_eq!(
        replica.take_ready().reads,
        [ReadOutcome {
            token: 7,
            index: None
        }],
        "a read still needs a leader"
    );
}
