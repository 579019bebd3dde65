//! A claim, the ballots that order attempts to agree on it, and the messages of the agreement.
//!
//! Used by the proposer ([`crate::Proposer`]) and the acceptor ([`crate::ClaimReplica`]). The types are encoded
//! with postcard, by the order of their fields and variants, and go over the wire between guards.

use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::incarnations::Incarnations;
use crate::outcome::ReasonCode;
use crate::{BodyDigest, GuardId, Incarnation, Placement, SubmissionKey, TaskIndex};

/// How far the clocks of callers and boxes may disagree (docs/design/1-submissions.md). Chosen, not measured.
pub const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Order of attempts to fix a claim; a larger ballot overrules a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the attempt; 0 is the first choice's attempt without a prepare phase.
    pub round: u32,
    /// The guard that proposes.
    pub proposer: GuardId,
    /// The incarnation of the guard that proposes.
    pub incarnation: Incarnation,
    /// Number of the attempt in that incarnation, so that no two attempts share a ballot.
    pub attempt: u64,
}

impl Ballot {
    /// Returns whether this is the one attempt that needs no prepare phase.
    pub fn is_fast(&self) -> bool {
        self.round == 0
    }
}

/// What a replica group agrees on for one key: what was asked for, and where each task may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the submission's body.
    pub digest: BodyDigest,
    /// When the caller first submitted.
    pub submitted_at: UnixTime,
    /// The distinct placements that the job uses.
    pub placements: Vec<Placement>,
    /// For each task, the index of its placement in `placements`.
    pub tasks: Vec<u16>,
    /// Set when the group agreed that nothing will run under this key, and why.
    pub refusal: Option<ReasonCode>,
}

impl Claim {
    /// Returns where a task may start, if the job has such a task.
    pub fn placement_of(&self, task: TaskIndex) -> Option<Placement> {
        let index = self.tasks.get(usize::from(task))?;
        self.placements.get(usize::from(*index)).copied()
    }
}

/// A claim together with the ballot it was accepted under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The ballot.
    pub ballot: Ballot,
    /// The claim.
    pub claim: Claim,
}

/// The identity and age of a submission, which each claim request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// When the caller first submitted.
    pub submitted_at: UnixTime,
}

/// A request to one replica about one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Asks for a promise to accept nothing below the ballot.
    Prepare(Ballot),
    /// Asks to accept a claim under a ballot.
    Accept(Accepted),
    /// Asks what is accepted, without changing anything.
    Read,
}

/// A replica's answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The promise is given; carries what was accepted before.
    Promised(Option<Accepted>),
    /// The claim is accepted under this ballot.
    Accepted(Ballot),
    /// A ballot at least this large was promised before.
    Rejected(Ballot),
    /// What is accepted now.
    Value(Option<Accepted>),
    /// The replica may have forgotten votes for this key and gives none.
    NotVoting,
    /// The key is older than the retention.
    Expired,
}

/// A [`ClaimReply`] with who gives it and which incarnations that replica knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaReply {
    /// The replica that replies, in its present incarnation.
    pub from: Placement,
    /// The newest incarnations that the replica knows in the group.
    pub known: Incarnations,
    /// The reply itself.
    pub body: ClaimReply,
}
