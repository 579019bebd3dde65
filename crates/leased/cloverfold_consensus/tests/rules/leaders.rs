//! What a leader commits and proves, and how it changes the voters.

use std::time::Duration;

use cloverfold_consensus::{Member, ReadOutcome, ReplicaId, Role};

use crate::fixtures::{NOW, elect, established_leader, matching, replica};

#[test]
fn a_leader_counts_itself_only_when_its_disk_has_the_entry() {
    let mut replica = replica(3, &[3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    // Of five voters or three, one other is no majority without the leader.
    replica.receive(2, matching(term, last, 1), NOW);
    assert!(replica.status().commit < last);

    replica.mark_synced(ready.batch.unwrap(), NOW);

    assert_eq!(replica.status().commit, last);
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_leaders_own() {
    let mut replica = replica(3, &[2, 3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    replica.mark_synced(ready.batch.unwrap(), NOW);
    replica.receive(2, matching(term, last - 1, 1), NOW);
    assert_eq!(
        replica.status().commit,
        1,
        "a majority has them, but none of this term"
    );

    replica.receive(2, matching(term, last, 1), NOW);

    assert_eq!(replica.status().commit, last);
}

#[test]
fn a_read_waits_for_proof_from_a_majority_after_it_began() {
    let mut replica = established_leader();
    let (term, last) = (replica.status().term, replica.status().last_index);

    replica.begin_read(77, NOW);
    replica.receive(2, matching(term, last, 1), NOW);
    let early = replica.take_ready();
    assert!(early.reads.is_empty(), "the reply answers an earlier round");
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
    // The disk at the address of replica 3 is another now, and so is that of a further box.
    let newcomer = |id, at: u8| Member {
        id,
        address: format!("10.0.0.{at}:7000").parse().unwrap(),
    };
    replica.add_learner(newcomer(33, 3));
    replica.add_learner(newcomer(44, 4));
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
fn a_leader_whose_disk_is_behind_the_majority_can_step_down_and_loses_nothing() {
    let mut replica = established_leader();
    let term = replica.status().term;
    let index = replica.propose(vec![1], NOW).unwrap();
    replica.take_ready();
    assert!(!replica.is_disk_behind(), "nobody has the entry yet");
    replica.receive(2, matching(term, index, 2), NOW);
    assert!(!replica.is_disk_behind(), "one of three is no majority");
    replica.receive(3, matching(term, index, 2), NOW);
    assert!(replica.is_disk_behind());

    replica.step_down(NOW);

    let status = replica.status();
    assert_eq!((status.role, status.term), (Role::Follower, term));
    assert_eq!(status.commit, index);
    assert!(replica.propose(vec![2], NOW).is_err());
}
