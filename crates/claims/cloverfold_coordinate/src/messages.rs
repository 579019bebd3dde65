//! Messages from an entry to the coordinator of a job.
//!
//! The postcard encoding depends on the order of fields and variants.

use cloverfold_base::UnixTime;
use cloverfold_claims_core::{
    BodyDigest, Outcome, ReasonCode, RetryPolicy, ServiceId, Submission, SubmissionKey, WorkspaceId,
};
use cloverfold_net::Message;
use serde::{Deserialize, Serialize};

/// Asks a guard to run a job, or to join it if it is running already.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submit {
    /// Key and time of the submission.
    pub submission: Submission,
    /// Request identifier, which the reply repeats.
    pub attempt: u64,
    /// Whether no other guard can have this submission: the entry generated the key, and no earlier request was lost.
    pub is_sole_attempt: bool,
    /// Workspace that submits.
    pub workspace: WorkspaceId,
    /// Service that runs the tasks.
    pub service: ServiceId,
    /// Hash of the body.
    pub digest: BodyDigest,
    /// No task starts at or after this time.
    pub deadline: UnixTime,
    /// Whether a task may be started again after its guard or target was lost.
    pub repeat: RetryPolicy,
    /// Request body of each task for the target.
    pub tasks: Vec<Vec<u8>>,
}

impl Message for Submit {
    const KIND: u16 = 30;
    const NAME: &'static str = "submit";
    type Reply = SubmitReply;
}

/// The answer to a [`Submit`], matched to it by key and attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitReply {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Identifier of the request.
    pub attempt: u64,
    /// Result of the submission.
    pub verdict: SubmitResult,
}

/// Result of a [`Submit`] at one guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitResult {
    /// Outcome of the job.
    Answered(Outcome),
    /// This guard does not answer the request; another guard may.
    NotHere(ReasonCode),
}

/// Requests the state of a submission.
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

/// State of a submission according to one guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueryReply {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// State of the submission.
    pub state: JobState,
}

/// State of a submission as one guard knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// This guard is running the job.
    Running,
    /// The job ended with this outcome.
    Answered(Outcome),
    /// A majority has a claim for it.
    Claimed {
        /// Number of tasks.
        tasks: u32,
    },
    /// A majority agreed to refuse the submission.
    Refused(ReasonCode),
    /// A majority has no claim for it.
    NotSeen,
    /// Too few replicas answered.
    CannotTell,
}
