//! Claims, the ballots of single-decree Paxos, and its requests and replies.
//!
//! The proposer is [`crate::Proposer`] and the acceptor is [`crate::ClaimReplica`]. Guards exchange these types in
//! postcard, which depends on the order of fields and variants.

use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::incarnations::Incarnations;
use crate::outcome::ReasonCode;
use crate::{BodyDigest, GuardId, Incarnation, Placement, SubmissionKey, TaskIndex};

/// Largest tolerated clock skew between callers and boxes.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Paxos ballot; a larger one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Round number; 0 is the fast round of the preferred proposer, which has no prepare phase.
    pub round: u32,
    /// The guard that proposes.
    pub proposer: GuardId,
    /// Incarnation of the proposer.
    pub incarnation: Incarnation,
    /// Number of the attempt in that incarnation; makes every ballot unique.
    pub attempt: u64,
}

impl Ballot {
    /// Returns whether this is a fast ballot, which needs no prepare phase.
    pub fn is_fast(&self) -> bool {
        self.round == 0
    }
}

/// The value that a replica group agrees on for one key: the submission's digest and where each task may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the submission's body.
    pub digest: BodyDigest,
    /// Time of the caller's first submission.
    pub submitted_at: UnixTime,
    /// The distinct placements that the job uses.
    pub placements: Vec<Placement>,
    /// For each task, the index of its placement in `placements`.
    pub tasks: Vec<u16>,
    /// Reason why no task will run under this key, if the group agreed on a refusal.
    pub refusal: Option<ReasonCode>,
}

impl Claim {
    /// Returns where a task may start, or `None` for an unknown index.
    pub fn placement_of(&self, task: TaskIndex) -> Option<Placement> {
        let index = self.tasks.get(usize::from(task))?;
        self.placements.get(usize::from(*index)).copied()
    }
}

/// A claim and the ballot under which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Ballot of the accepted proposal.
    pub ballot: Ballot,
    /// Value of the accepted proposal.
    pub claim: Claim,
}

/// Key and time of a submission, sent with each claim request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Time of the caller's first submission.
    pub submitted_at: UnixTime,
}

/// A request to one replica about one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Asks the replica to promise to reject smaller ballots.
    Prepare(Ballot),
    /// Asks the replica to accept a claim under a ballot.
    Accept(Accepted),
    /// Reads the accepted claim without a vote.
    Read,
}

/// A replica's answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The promise, with the claim that was accepted before.
    Promised(Option<Accepted>),
    /// The claim is accepted under this ballot.
    Accepted(Ballot),
    /// The replica promised this ballot before, which rules out the requested one.
    Rejected(Ballot),
    /// The currently accepted claim.
    Value(Option<Accepted>),
    /// The replica may have lost earlier votes on this key and must not vote.
    NotVoting,
    /// The key is older than the retention.
    Expired,
}

/// A [`ClaimReply`] with its sender and the incarnations that the sender knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReply {
    /// The replying replica and its current incarnation.
    pub from: Placement,
    /// The newest incarnations of the group's members that the replica knows.
    pub known: Incarnations,
    /// The reply.
    pub body: ClaimReply,
}
