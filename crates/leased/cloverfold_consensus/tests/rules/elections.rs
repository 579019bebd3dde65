//! Votes and pre-votes.

use crate::fixtures::{NOW, append, replica, vote, vote_reply};

#[test]
fn a_vote_waits_for_the_disk_and_is_given_once_a_term() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, vote(4, (2, 3), false), NOW);
    let first = replica.take_ready();
    let (reply, after_sync) = vote_reply(&first);
    assert!(reply.is_granted);
    assert!(
        after_sync && first.batch.is_some(),
        "the vote is synced before it leaves"
    );

    replica.receive(3, vote(4, (2, 3), false), NOW);

    assert!(!vote_reply(&replica.take_ready()).0.is_granted);
}

#[test]
fn no_vote_for_a_log_that_lacks_something() {
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
fn no_pre_vote_while_a_leader_lives() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), Vec::new(), 1), NOW);
    replica.take_ready();

    replica.receive(3, vote(4, (9, 3), true), NOW);

    assert!(!vote_reply(&replica.take_ready()).0.is_granted);
    assert_eq!(replica.status().term, 3);
}
