//! Outcomes of jobs as callers receive them, and their reason codes.
//!
//! Callers match the names of the codes, so these are stable.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a task may be started again after it may have started at a guard or target that was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RetryPolicy {
    /// A task starts at most once.
    #[default]
    Never,
    /// A task whose target or guard was lost may start again elsewhere, within the retry budget.
    Allowed,
}

/// Stable code of the reason why a job did not complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonCode {
    /// The idempotency key was used before with another body.
    KeyConflict,
    /// The key is past its retention.
    KeyExpired,
    /// Too few replicas of the key can vote.
    NoQuorum,
    /// No process that can run the job was reachable.
    Unavailable,
    /// The queue that could accept the task is full.
    QueueFull,
    /// The deadline passed before the task started.
    DeadlinePassed,
    /// The process is draining and accepts no new work.
    Leaving,
    /// The target reported that the task failed.
    TargetFailed,
    /// The target did not answer a start, so the task may have run.
    TargetLost,
    /// The guard of the task restarted or was unreachable for too long.
    GuardLost,
    /// Another task of the job failed first.
    SiblingFailed,
    /// The task ran, but its result is past its retention.
    AnswerDropped,
}

impl ReasonCode {
    /// Returns the code as it appears in answers and logs.
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

/// Outcome of one job; there are no partial outcomes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Every task succeeded.
    Complete {
        /// One result for each task, in task order.
        results: Vec<Vec<u8>>,
    },
    /// The job did not complete, and at least one task may have started.
    Failed {
        /// Reason of the first failure.
        reason: ReasonCode,
        /// Human-readable message.
        detail: String,
    },
    /// No task of the job started or ever will.
    NotRun {
        /// Reason of the refusal.
        reason: ReasonCode,
        /// Human-readable message.
        detail: String,
        /// When to retry, if a retry can succeed.
        retry_after: Option<Duration>,
    },
    /// Whether a task started is unknown.
    Unknown {
        /// Reason why it is unknown.
        reason: ReasonCode,
        /// Human-readable message.
        detail: String,
    },
}

impl Outcome {
    /// Returns the name of the outcome: `complete`, `failed`, `not_run` or `unknown`.
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
