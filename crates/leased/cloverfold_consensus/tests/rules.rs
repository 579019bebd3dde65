//! Single rules of the log, each seen on one replica that is spoken to by hand.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{
    Append, AppendReply, Entry, InstallSnapshot, LogIndex, Member, Members, Message, Outgoing,
    Payload, ReadOutcome, Ready, Record, RecoveredState, Replica, ReplicaConfig, ReplicaId, Role,
    Snapshot, Term, Vote, VoteReply,
};

const NOW: Timestamp = Timestamp::from_start(Duration::from_secs(100));

fn members() -> Members {
    let member = |id: ReplicaId| Member {
        id,
        address: format!("10.0.0.{id}:7000").parse().unwrap(),
    };
    Members {
        voters: vec![member(1), member(2), member(3)],
    }
}

fn entry(index: LogIndex, term: Term) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![term as u8]),
    }
}

/// A replica with a founding snapshot at place 1 and entries of the given terms after it.
fn replica(term: Term, terms: &[Term]) -> Replica {
    let entries = terms
        .iter()
        .zip(2..)
        .map(|(term, index)| entry(index, *term))
        .collect();
    let state = RecoveredState {
        term,
        snapshot: Snapshot {
            index: 1,
            term: 1,
            members: members(),
            state: Vec::new(),
        },
        entries,
        ..RecoveredState::default()
    };
    let mut replica = Replica::new(1, ReplicaConfig::default(), state, 5, NOW);
    replica.take_ready();
    replica
}

fn append(
    term: Term,
    previous: (LogIndex, Term),
    entries: Vec<Entry>,
    commit: LogIndex,
) -> Message {
    Message::Append(Append {
        term,
        previous_index: previous.0,
        previous_term: previous.1,
        entries,
        commit,
        round: 1,
    })
}

fn vote(term: Term, last: (LogIndex, Term), is_pre_vote: bool) -> Message {
    Message::Vote(Vote {
        term,
        is_pre_vote,
        last_index: last.0,
        last_term: last.1,
    })
}

fn vote_reply(ready: &Ready) -> (&VoteReply, bool) {
    let found = ready
        .messages
        .iter()
        .find_map(|outgoing| match &outgoing.message {
            Message::VoteReply(reply) => Some((reply, outgoing.after_sync)),
            _ => None,
        });
    found.expect("a reply to the vote")
}

fn append_reply(messages: &[Outgoing]) -> &AppendReply {
    let found = messages
        .iter()
        .rev()
        .find_map(|outgoing| match &outgoing.message {
            Message::AppendReply(reply) => Some(reply),
            _ => None,
        });
    found.expect("a reply to the entries")
}

/// Makes replica 1 lead by a vote of replica 2; returns what it wants written first.
fn elect(replica: &mut Replica) -> Ready {
    let now = NOW + Duration::from_secs(5);
    replica.tick(now);
    let asked = replica.take_ready();
    let term = replica.status().term + 1;
    assert!(matches!(
        asked.messages[0].message,
        Message::Vote(Vote {
            is_pre_vote: true,
            ..
        })
    ));
    let granted = |is_pre_vote| {
        Message::VoteReply(VoteReply {
            term,
            is_pre_vote,
            is_granted: true,
        })
    };
    replica.receive(2, granted(true), now);
    replica.take_ready();
    replica.receive(2, granted(false), now);
    assert_eq!(replica.status().role, Role::Leader);
    replica.take_ready()
}

fn matching(term: Term, index: LogIndex, round: u64) -> Message {
    Message::AppendReply(AppendReply {
        term,
        is_matching: true,
        index,
        round,
    })
}

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

#[test]
fn entries_are_acknowledged_once_they_are_synced() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3), entry(4, 3)], 2), NOW);
    let ready = replica.take_ready();
    assert_eq!(
        append_reply(&ready.messages).index,
        2,
        "only what was there before"
    );

    replica.persisted(ready.batch.unwrap(), NOW);

    assert_eq!(append_reply(&replica.take_ready().messages).index, 4);
}

#[test]
fn entries_of_an_earlier_leader_are_not_acknowledged_to_the_next() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3), entry(4, 3)], 2), NOW);
    let ready = replica.take_ready();

    replica.receive(3, append(4, (2, 3), Vec::new(), 2), NOW);
    replica.take_ready();
    replica.persisted(ready.batch.unwrap(), NOW);

    assert_eq!(append_reply(&replica.take_ready().messages).index, 2);
}

#[test]
fn entries_that_clash_are_replaced_and_their_sync_counts_for_nothing() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), vec![entry(3, 3), entry(4, 3)], 2), NOW);
    let first = replica.take_ready();
    replica.receive(3, append(4, (2, 3), vec![entry(3, 4)], 2), NOW);
    let second = replica.take_ready();

    replica.persisted(first.batch.unwrap(), NOW);
    assert_eq!(
        append_reply(&replica.take_ready().messages).index,
        2,
        "the new entry is not synced"
    );
    replica.persisted(second.batch.unwrap(), NOW);

    assert_eq!(append_reply(&replica.take_ready().messages).index, 3);
    assert_eq!(replica.status().last_index, 3);
}

#[test]
fn a_leader_counts_itself_only_when_its_disk_has_the_entry() {
    let mut replica = replica(3, &[3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    // Of five voters or three, one other is no majority without the leader.
    replica.receive(2, matching(term, last, 1), NOW);
    assert!(replica.status().commit < last);

    replica.persisted(ready.batch.unwrap(), NOW);

    assert_eq!(replica.status().commit, last);
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_leaders_own() {
    let mut replica = replica(3, &[2, 3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    replica.persisted(ready.batch.unwrap(), NOW);
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
    let mut replica = replica(3, &[3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    replica.persisted(ready.batch.unwrap(), NOW);
    replica.receive(2, matching(term, last, 1), NOW);
    replica.take_ready();

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
fn a_snapshot_of_what_is_there_drops_no_entry_after_it() {
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
fn voters_change_one_at_a_time() {
    let mut replica = replica(3, &[3]);
    let ready = elect(&mut replica);
    let (term, last) = (replica.status().term, replica.status().last_index);
    replica.persisted(ready.batch.unwrap(), NOW);
    replica.receive(2, matching(term, last, 1), NOW);
    replica.take_ready();
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

#[test]
fn what_is_committed_is_written_down_and_nobody_waits_for_it() {
    let mut replica = replica(3, &[3]);
    replica.receive(2, append(3, (2, 3), Vec::new(), 2), NOW);

    let ready = replica.take_ready();

    assert!(ready.records.contains(&Record::Commit { index: 2 }));
    assert_eq!(append_reply(&ready.messages).index, 2);
    assert!(ready.messages.iter().all(|outgoing| !outgoing.after_sync));
}
