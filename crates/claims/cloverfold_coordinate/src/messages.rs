//! Messages from an entry to the coordinator of a job.
//!
//! Encoded with postcard, by the order of fields and variants.

use cloverfold_base::UnixTime;
use cloverfold_claims_core::{
    BodyDigest, Outcome, ReasonCode, Repeat, ServiceId, Submission, SubmissionKey, WorkspaceId,
};
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// Asks a guard to run a job, or to join it if it runs already.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// Key and age of the submission.
    pub submission: Submission,
    /// Number of this request, which its answer repeats.
    pub attempt: u64,
    /// Whether no other guard can have this submission: the entry made the key itself, and no earlier try
    /// was lost.
    pub is_sole_attempt: bool,
    /// Workspace that submits.
    pub workspace: WorkspaceId,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// Hash of the body.
    pub digest: BodyDigest,
    /// No start at or after this time.
    pub deadline: UnixTime,
    /// Whether a task may start again after its first start was lost.
    pub repeat: Repeat,
    /// What each task gives to the target.
    pub tasks: Vec<Vec<u8>>,
}

impl Message for Submit {
    const KIND: u16 = 30;
    const NAME: &'static str = "submit";
    type Reply = SubmitReply;
}

/// The answer to a [`Submit`], bound to it by key and attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// Key of the submission that is answered.
    pub key: SubmissionKey,
    /// Number of the request that is answered.
    pub attempt: u64,
    /// The answer.
    pub verdict: SubmitResult,
}

/// The guard's verdict on a [`Submit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitResult {
    /// The job's answer.
    Answered(Outcome),
    /// This guard did nothing with the request; another may run it.
    NotHere(ReasonCode),
}

/// Asks what is known of a submission.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Query {
    /// Key of the submission.
    pub key: SubmissionKey,
}

impl Message for Query {
    const KIND: u16 = 31;
    const NAME: &'static str = "query";
    type Reply = QueryReply;
}

/// What a guard knows of a submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryReply {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Its state.
    pub state: JobState,
}

/// State of a submission as far as one guard can tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// It is being driven here.
    Running,
    /// It is over, with this answer.
    Answered(Outcome),
    /// A majority holds a claim for it, with this many tasks.
    Claimed {
        /// Number of tasks.
        tasks: u32,
    },
    /// A majority agreed that nothing runs under this key.
    Refused(ReasonCode),
    /// No majority holds a claim for it now.
    NotSeen,
    /// This guard cannot tell.
    CannotTell,
}
