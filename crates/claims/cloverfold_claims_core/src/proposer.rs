//! One guard's attempt to have a claim agreed on: the proposer of single-decree Paxos.
//!
//! Owns the state of the attempt. Relies on the caller to send its requests to the group and to pass on the replies,
//! and on [`crate::ClaimReplica`] for the rules of voting.

use std::collections::BTreeMap;

use crate::claim::{Accepted, Ballot, Claim, ClaimReply, ClaimRequest, ReplicaReply};
use crate::{GuardId, Placement, quorum_of};

/// What the proposer does after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerStep {
    /// More replies are needed.
    Wait,
    /// The next phase begins: send this to every member.
    Send(ClaimRequest),
    /// The group has agreed on this claim, which may be another proposer's.
    Chosen(Claim),
    /// A larger ballot was promised; begin again with [`Proposer::with_prepare_phase`] at this round.
    Preempted {
        /// Round that is larger than any seen.
        round: u32,
    },
    /// The key is past its retention.
    Expired,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Preparing,
    Accepting,
}

/// State of one attempt, fed with replies in any order, repeated or not.
#[derive(Clone, Debug)]
pub struct Proposer {
    group: Vec<GuardId>,
    ballot: Ballot,
    claim: Claim,
    phase: Phase,
    replies: BTreeMap<GuardId, ReplicaReply>,
}

impl Proposer {
    /// Begins the attempt of the group's first choice, which needs one round trip.
    ///
    /// Only [`crate::ClaimReplica::propose_fast`] may begin one, after the proposer's own vote.
    /// `attempt` differs for every proposer of one incarnation.
    pub(crate) fn fast(group: Vec<GuardId>, own: Placement, attempt: u64, claim: Claim) -> Self {
        let ballot = make_ballot(own, 0, attempt);
        Self::begin(group, ballot, claim, Phase::Accepting)
    }

    /// Begins an attempt with a prepare phase; `round` is at least 1, `attempt` differs for every proposer of
    /// one incarnation.
    pub fn with_prepare_phase(
        group: Vec<GuardId>,
        own: Placement,
        round: u32,
        attempt: u64,
        claim: Claim,
    ) -> Self {
        let ballot = make_ballot(own, round.max(1), attempt);
        Self::begin(group, ballot, claim, Phase::Preparing)
    }

    fn begin(group: Vec<GuardId>, ballot: Ballot, claim: Claim, phase: Phase) -> Self {
        Self {
            group,
            ballot,
            claim,
            phase,
            replies: BTreeMap::new(),
        }
    }

    /// Returns the request that the present phase sends to every member.
    pub fn request(&self) -> ClaimRequest {
        match self.phase {
            Phase::Preparing => ClaimRequest::Prepare(self.ballot),
            Phase::Accepting => ClaimRequest::Accept(Accepted {
                ballot: self.ballot,
                claim: self.claim.clone(),
            }),
        }
    }

    /// Handles one reply; returns what to do next.
    pub fn handle_reply(&mut self, reply: ReplicaReply) -> ProposerStep {
        if !self.group.contains(&reply.from.guard) {
            return ProposerStep::Wait;
        }
        match (&reply.body, self.phase) {
            (ClaimReply::Rejected(ballot), _) if *ballot > self.ballot => ProposerStep::Preempted {
                round: ballot.round + 1,
            },
            // A fast ballot is rejected by any record, also one with a smaller ballot.
            (ClaimReply::Rejected(ballot), _) if self.ballot.is_fast() => ProposerStep::Preempted {
                round: ballot.round + 1,
            },
            (ClaimReply::Expired, _) => ProposerStep::Expired,
            (ClaimReply::Promised(_), Phase::Preparing) => self.count(reply),
            (ClaimReply::Accepted(ballot), Phase::Accepting) if *ballot == self.ballot => {
                self.count(reply)
            }
            _ => ProposerStep::Wait,
        }
    }

    fn count(&mut self, reply: ReplicaReply) -> ProposerStep {
        let held = self.replies.get(&reply.from.guard);
        if held.is_none_or(|held| held.from.incarnation <= reply.from.incarnation) {
            self.replies.insert(reply.from.guard, reply);
        }
        let valid = list_current_replies(&self.replies);
        if valid.len() < quorum_of(self.group.len()) {
            return ProposerStep::Wait;
        }
        match self.phase {
            Phase::Accepting => ProposerStep::Chosen(self.claim.clone()),
            Phase::Preparing => {
                if let Some(claim) = find_newest_claim(&valid) {
                    self.claim = claim;
                }
                self.phase = Phase::Accepting;
                self.replies.clear();
                ProposerStep::Send(self.request())
            }
        }
    }
}

fn make_ballot(own: Placement, round: u32, attempt: u64) -> Ballot {
    Ballot {
        round,
        proposer: own.guard,
        incarnation: own.incarnation,
        attempt,
    }
}

/// Lists the replies of incarnations that no other reply knows to have ended.
fn list_current_replies(replies: &BTreeMap<GuardId, ReplicaReply>) -> Vec<&ReplicaReply> {
    let is_current = |reply: &&ReplicaReply| {
        let from = reply.from;
        let newest = replies.values().map(|other| other.known.newest(from.guard));
        // The reply itself is among them, so the default is never used.
        newest.max().unwrap_or(0) <= from.incarnation
    };
    replies.values().filter(is_current).collect()
}

fn find_newest_claim(replies: &[&ReplicaReply]) -> Option<Claim> {
    let accepted = replies.iter().filter_map(|reply| match &reply.body {
        ClaimReply::Promised(accepted) => accepted.as_ref(),
        _ => None,
    });
    let newest = accepted.max_by_key(|accepted| accepted.ballot);
    newest.map(|accepted| accepted.claim.clone())
}
