//! Rules of a leader: commit, linearizable reads, membership changes and stepping down.

use std::time::Duration;

use cloverfold_consensus::{Member, ReadOutcome, ReplicaId, Role};

use crate::fixtures::{NOW, elect, established_leader, matching, replica};

#[test]
fn a_leader_counts_itself_only_after_its_own_sync() {
    let mut replica = replica(3, &[3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    // One other voter is no majority without the leader.
    replica.receive(2, matching(term, last, 1), NOW);
    assert!(replica.status().commit < last);

    replica.mark_synced(ready.batch.unwrap(), NOW);

    assert_eq!(replica.status().commit, last);
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    let mut replica = replica(3, &[2, 3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    replica.mark_synced(ready.batch.unwrap(), NOW);
    replica.receive(2, matching(term, last - 1, 1), NOW);
    assert_eq!(
        replica.status().commit,
        1,
        "a majority has the entries, but none of the current term"
    );

    replica.receive(2, matching(term, last, 1), NOW);

    assert_eq!(replica.status().commit, last);
}

#[test]
fn a_read_waits_for_a_majority_to_acknowledge_a_later_round() {
    let mut replica = established_leader();
    let (term, last) = (replica.status().term, replica.status().last_index);

    replica.begin_read(77, NOW);
    replica.receive(2, matching(term, last, 1), NOW);
    let early = replica.take_ready();
    assert!(early.reads.is_empty(), "the reply is to an earlier round");
    replica.receive(2, matching(term, last, 1_000), NOW);

    assert_eq!(
        replica.take_ready().reads,
        [ReadOutcome {
            token: 77,
            index: Some(last)
        }]
    );
}

#[test]
fn a_read_fails_before_the_leader_has_committed_in_its_term() {
    let mut replica = replica(3, &[3]);
    elect(&mut replica);

    replica.begin_read(77, NOW);

    assert_eq!(
        replica.take_ready().reads,
        [ReadOutcome {
            token: 77,
            index: None
        }]
    );
}

#[test]
fn voters_change_one_at_a_time() {
    let mut replica = established_leader();
    let (term, last) = (replica.status().term, replica.status().last_index);
    // The disk of replica 3 was replaced, and another box joins with a new disk.
    let learner = |id, at: u8| Member {
        id,
        address: format!("10.0.0.{at}:7000").parse().unwrap(),
    };
    replica.add_learner(learner(33, 3));
    replica.add_learner(learner(44, 4));
    let mut now = NOW + Duration::from_millis(50);
    for id in [2, 33, 44] {
        replica.receive(id, matching(term, last, 2), now);
    }

    replica.tick(now);
    let removed: Vec<ReplicaId> = replica.members().voters.iter().map(|m| m.id).collect();
    assert_eq!(removed, [1, 2]);
    now += Duration::from_millis(50);
    replica.tick(now);

    assert_eq!(
        replica.members().voters.len(),
        2,
        "the first change is not committed"
    );
}

#[test]
fn a_leader_whose_disk_lags_behind_can_step_down_without_losing_entries() {
    let mut replica = established_leader();
    let term = replica.status().term;
    let index = replica.propose(vec![1], NOW).unwrap();
    replica.take_ready();
    assert!(
        !replica.is_disk_behind(),
        "no replica has synced the entry yet"
    );
    replica.receive(2, matching(term, index, 2), NOW);
    assert!(
        !replica.is_disk_behind(),
        "one voter of three is no majority"
    );
    replica.receive(3, matching(term, index, 2), NOW);
    assert!(replica.is_disk_behind());

    replica.step_down(NOW);

    let status = replica.status();
    assert_eq!((status.role, status.term), (Role::Follower, term));
    assert_eq!(status.commit, index);
    assert!(replica.propose(vec![2], NOW).is_err());
}
