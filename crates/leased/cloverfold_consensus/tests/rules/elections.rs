//! Rules of votes and pre-votes.

use crate::fixtures::{NOW, append, replica, vote, vote_reply};

#[test]
fn a_vote_is_sent_after_sync_and_granted_once_per_term() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, vote(4, (2, 3), false), NOW);
    let first = replica.take_ready();
    let (reply, after_sync) = vote_reply(&first);
    assert!(reply.is_granted);
    assert!(
        after_sync && first.batch.is_some(),
        "the vote is synced before it is sent"
    );

    replica.receive(3, vote(4, (2, 3), false), NOW);

    assert!(!vote_reply(&replica.take_ready()).0.is_granted);
}

#[test]
fn votes_are_refused_to_candidates_with_an_outdated_log() {
    for (last, is_granted) in [
        ((2, 3), true),
        ((3, 3), true),
        ((9, 2), false),
        ((1, 1), false),
    ] {
        for is_pre_vote in [true, false] {
            let mut replica = replica(3, &[3]);
            replica.receive(2, vote(4, last, is_pre_vote), NOW);
            assert_eq!(
                vote_reply(&replica.take_ready()).0.is_granted,
                is_granted,
                "{last:?}"
            );
        }
    }
}

#[test]
fn a_pre_vote_is_refused_while_a_leader_is_alive() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), Vec::new(), 1), NOW);
    replica.take_ready();

    replica.receive(3, vote(4, (9, 3), true), NOW);

    assert!(!vote_reply(&replica.take_ready()).0.is_granted);
    assert_eq!(replica.status().term, 3);
}
