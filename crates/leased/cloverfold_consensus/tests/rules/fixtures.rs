//! Builders for replicas and messages.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{
    AppendEntries, AppendReply, Entry, LogIndex, Member, Members, Message, OutgoingMessage,
    Payload, Ready, RecoveredState, Replica, ReplicaConfig, ReplicaId, Role, Snapshot, Term,
    VoteReply, VoteRequest,
};

pub const NOW: Timestamp = Timestamp::from_start(Duration::from_secs(100));

pub fn members() -> Members {
    let member = |id: ReplicaId| Member {
        id,
        address: format!("10.0.0.{id}:7000").parse().unwrap(),
    };
    Members {
        voters: vec![member(1), member(2), member(3)],
    }
}

pub fn entry(index: LogIndex, term: Term) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(vec![term as u8]),
    }
}

/// Returns a replica with a bootstrap snapshot at index 1, followed by entries of the given terms.
pub fn replica(term: Term, terms: &[Term]) -> Replica {
    replica_with(ReplicaConfig::default(), term, terms)
}

/// Like [`replica`], with the given parameters.
pub fn replica_with(config: ReplicaConfig, term: Term, terms: &[Term]) -> Replica {
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
    let mut replica = Replica::new(1, config, state, 5, NOW);
    replica.take_ready();
    replica
}

pub fn append(
    term: Term,
    previous: (LogIndex, Term),
    entries: Vec<Entry>,
    commit: LogIndex,
) -> Message {
    Message::Append(AppendEntries {
        term,
        previous_index: previous.0,
        previous_term: previous.1,
        entries,
        commit,
        round: 1,
    })
}

pub fn vote(term: Term, last: (LogIndex, Term), is_pre_vote: bool) -> Message {
    Message::Vote(VoteRequest {
        term,
        is_pre_vote,
        last_index: last.0,
        last_term: last.1,
    })
}

pub fn vote_reply(ready: &Ready) -> (&VoteReply, bool) {
    let found = ready
        .messages
        .iter()
        .find_map(|outgoing| match &outgoing.message {
            Message::VoteReply(reply) => Some((reply, outgoing.after_sync)),
            _ => None,
        });
    found.expect("a reply to the vote")
}

pub fn append_reply(messages: &[OutgoingMessage]) -> &AppendReply {
    let found = messages
        .iter()
        .rev()
        .find_map(|outgoing| match &outgoing.message {
            Message::AppendReply(reply) => Some(reply),
            _ => None,
        });
    found.expect("a reply to the entries")
}

/// Elects replica 1 with the vote of replica 2; returns its first ready batch as leader.
pub fn elect(replica: &mut Replica) -> Ready {
    let now = NOW + Duration::from_secs(5);
    replica.tick(now);
    let request = replica.take_ready();
    let term = replica.status().term + 1;
    assert!(matches!(
        request.messages[0].message,
        Message::Vote(VoteRequest {
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

pub fn matching(term: Term, index: LogIndex, round: u64) -> Message {
    Message::AppendReply(AppendReply {
        term,
        is_matching: true,
        index,
        round,
    })
}

/// Returns replica 1 as the leader, with the first entry of its term committed.
pub fn established_leader() -> Replica {
    let mut replica = replica(3, &[3]);
    let ready = elect(&mut replica);
    let status = replica.status();
    replica.mark_synced(ready.batch.unwrap(), NOW);
    replica.receive(2, matching(status.term, status.last_index, 1), NOW);
    replica.take_ready();
    replica
}
