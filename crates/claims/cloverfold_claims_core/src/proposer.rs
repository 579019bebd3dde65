//! The proposer of single-decree Paxos.
//!
//! The caller sends the requests to the replica group and passes the replies to [`Proposer::handle_reply`]. The
//! acceptor is [`crate::ClaimReplica`].

use std::collections::BTreeMap;

use crate::claim::{Accepted, Ballot, Claim, ClaimReply, ClaimRequest, ReplicaReply};
use crate::{GuardId, Placement, quorum_of};

/// What the caller does after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerStep {
    /// Wait for more replies.
    Wait,
    /// Send this request of the next phase to every member.
    Send(ClaimRequest),
    /// The group has chosen this claim, which may come from another proposer.
    Chosen(Claim),
    /// A replica has promised a larger ballot; retry with [`Proposer::with_prepare_phase`] in this round.
    Preempted {
        /// Round after that of the larger ballot.
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

/// One proposal; replies may arrive in any order and more than once.
#[derive(Clone, Debug)]
pub struct Proposer {
    group: Vec<GuardId>,
    ballot: Ballot,
    claim: Claim,
    phase: Phase,
    replies: BTreeMap<GuardId, ReplicaReply>,
}

impl Proposer {
    /// Creates the fast proposal of the group's preferred proposer, which takes one round trip.
    ///
    /// Only [`crate::ClaimReplica::propose_fast`] may call this, because the proposer must accept its own claim first.
    /// `attempt` is unique in the incarnation.
    pub(crate) fn fast(group: Vec<GuardId>, own: Placement, attempt: u64, claim: Claim) -> Self {
        let ballot = make_ballot(own, 0, attempt);
        Self::begin(group, ballot, claim, Phase::Accepting)
    }

    /// Creates a proposal with a prepare phase; `round` is at least 1 and `attempt` is unique in the incarnation.
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

    /// Returns the request of the current phase for every member.
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
            // Any existing record rejects a fast ballot, even one with a smaller ballot.
            (ClaimReply::Rejected(ballot), _) if self.ballot.is_fast() => ProposerStep::Preempted {
                round: ballot.round + 1,
            },
            (ClaimReply::Expired, _) => ProposerStep::Expired,
            (ClaimReply::Promised(_), Phase::Preparing) => self.count_vote(reply),
            (ClaimReply::Accepted(ballot), Phase::Accepting) if *ballot == self.ballot => {
                self.count_vote(reply)
            }
            _ => ProposerStep::Wait,
        }
    }

    fn count_vote(&mut self, reply: ReplicaReply) -> ProposerStep {
        let earlier = self.replies.get(&reply.from.guard);
        if earlier.is_none_or(|earlier| earlier.from.incarnation <= reply.from.incarnation) {
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

/// Returns the replies whose sender has not restarted according to any other reply.
fn list_current_replies(replies: &BTreeMap<GuardId, ReplicaReply>) -> Vec<&ReplicaReply> {
    let is_current = |reply: &&ReplicaReply| {
        let from = reply.from;
        let newest = replies.values().map(|other| other.known.newest(from.guard));
        // `replies` contains this reply, so the default is never used.
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
