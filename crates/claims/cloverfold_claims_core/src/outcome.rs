//! Outcomes of jobs as callers receive them, and the codes of their causes.
//!
//! Shared by the guard that decides an outcome and the entry that answers with it. Owns no state. Relies on nothing; callers
//! rely on the names of the codes, which therefore stay as they are.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the system may start a task again after its first start was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// A task starts at most once, whatever fails.
    #[default]
    Never,
    /// A task whose worker or guard died may start again elsewhere, within the retry budget.
    Allowed,
}

/// Stable code of the cause of an answer that is not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonCode {
    /// The idempotency key was used before with another body.
    KeyConflict,
    /// The key is older than the retention, so nothing is known of it any more.
    KeyExpired,
    /// Too few replicas of the key can vote to know its claim.
    NoQuorum,
    /// No process that can run the job was reached.
    Unavailable,
    /// Every queue that could take the task is full.
    QueueFull,
    /// The deadline passed, or would pass before the task can end.
    DeadlinePassed,
    /// The process is stopping and accepts no new work.
    Leaving,
    /// The target answered that the task failed.
    TargetFailed,
    /// The connection to the target broke while the task ran.
    TargetLost,
    /// The guard that held the task died or was replaced.
    GuardLost,
    /// Another task of the job failed first.
    SiblingFailed,
    /// The task ran, but its answer is no longer kept.
    AnswerDropped,
}

impl ReasonCode {
    /// Returns the code as written in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::KeyConflict => "key_conflict",
            Self::KeyExpired => "key_expired",
            Self::NoQuorum => "no_quorum",
            Self::Unavailable => "unavailable",
            Self::QueueFull => "queue_full",
            Self::DeadlinePassed => "deadline_passed",
            Self::Leaving => "leaving",
            Self::TargetFailed => "target_failed",
            Self::TargetLost => "target_lost",
            Self::GuardLost => "guard_lost",
            Self::SiblingFailed => "sibling_failed",
            Self::AnswerDropped => "answer_dropped",
        }
    }
}

/// The whole answer to one job; never partial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task ended well.
    Complete {
        /// One result for each task, in the order of the tasks.
        results: Vec<Vec<u8>>,
    },
    /// At least one task may have started and the job did not complete.
    Failed {
        /// Cause of the first failure.
        reason: ReasonCode,
        /// One sentence for a person.
        detail: String,
    },
    /// No task of the job started, and none will.
    NotRun {
        /// Cause of the refusal.
        reason: ReasonCode,
        /// One sentence for a person.
        detail: String,
        /// When to retry, where that can help.
        retry_after: Option<Duration>,
    },
    /// It cannot be proved whether a task started.
    Unknown {
        /// Why nothing can be proved.
        reason: ReasonCode,
        /// One sentence for a person.
        detail: String,
    },
}

impl Outcome {
    /// Returns the word for what became of the work: `complete`, `failed`, `not_run` or `unknown`.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Complete { .. } => "complete",
            Self::Failed { .. } => "failed",
            Self::NotRun { .. } => "not_run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Builds a [`Outcome::NotRun`].
    pub fn not_run(
        reason: ReasonCode,
        detail: impl Into<String>,
        retry_after: Option<Duration>,
    ) -> Self {
        Self::NotRun {
            reason,
            detail: detail.into(),
            retry_after,
        }
    }

    /// Builds a [`Outcome::Failed`].
    pub fn failed(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::Failed {
            reason,
            detail: detail.into(),
        }
    }

    /// Builds a [`Outcome::Unknown`].
    pub fn unknown(reason: ReasonCode, detail: impl Into<String>) -> Self {
        Self::Unknown {
            reason,
            detail: detail.into(),
        }
    }
}
