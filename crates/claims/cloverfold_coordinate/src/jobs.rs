//! The running jobs of this guard and the stored answers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::UnixTime;
use cloverfold_claims_core::{BodyDigest, Outcome, SubmissionKey};
use tokio::sync::watch;

/// Memory limit of the stored answers, in bytes.
const ANSWER_MEMORY_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Bytes that a stored answer counts beyond its results.
const ANSWER_OVERHEAD_BYTES: usize = 256;

/// Receives the answer of a job.
pub(crate) type AnswerReceiver = watch::Receiver<Option<Arc<JobAnswer>>>;
/// Publishes the answer of a job.
pub(crate) type AnswerSender = watch::Sender<Option<Arc<JobAnswer>>>;

/// The answer of a job, and the condition under which it is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobAnswer {
    /// Outcome for the caller.
    pub(crate) outcome: Outcome,
    /// Whether the answer is valid only if no other guard has the submission.
    pub(crate) assumes_sole_attempt: bool,
}

impl JobAnswer {
    /// Returns an answer that is valid whichever guards have the submission.
    pub(crate) fn unconditional(outcome: Outcome) -> Self {
        Self {
            outcome,
            assumes_sole_attempt: false,
        }
    }

    /// Returns an answer that is valid only if no other guard has the submission.
    pub(crate) fn for_sole_attempt(outcome: Outcome) -> Self {
        Self {
            outcome,
            assumes_sole_attempt: true,
        }
    }
}

/// Jobs and stored answers by key.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    by_key: HashMap<SubmissionKey, JobEntry>,
    stored: VecDeque<StoredAnswer>,
    stored_len: usize,
    running: usize,
}

#[derive(Debug)]
struct JobEntry {
    digest: BodyDigest,
    rx: AnswerReceiver,
}

#[derive(Debug)]
struct StoredAnswer {
    key: SubmissionKey,
    until: UnixTime,
    len: usize,
}

/// Result of joining or starting a job.
pub(crate) enum JoinResult {
    /// The job is running or answered.
    Joined(AnswerReceiver),
    /// The caller must run the job.
    Started(AnswerSender),
    /// The key was used with another body.
    Conflict,
}

impl Jobs {
    /// Joins a job, or starts it if `may_start`; returns `None` if there is no job and it may not start.
    pub(crate) fn join_or_start(
        &mut self,
        key: SubmissionKey,
        digest: BodyDigest,
        may_start: bool,
    ) -> Option<JoinResult> {
        if let Some(entry) = self.by_key.get(&key) {
            let is_same = entry.digest == digest;
            return Some(if is_same {
                JoinResult::Joined(entry.rx.clone())
            } else {
                JoinResult::Conflict
            });
        }
        if !may_start {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        self.by_key.insert(key, JobEntry { digest, rx });
        self.running += 1;
        Some(JoinResult::Started(tx))
    }

    /// Returns the receiver of a job's answer, if the job is running or its answer is stored.
    pub(crate) fn find(&self, key: &SubmissionKey) -> Option<AnswerReceiver> {
        self.by_key.get(key).map(|entry| entry.rx.clone())
    }

    /// Returns the number of jobs without an answer.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Records the answer of a job; an unknown or conditional answer is not stored, so that the job can be retried.
    pub(crate) fn finish(
        &mut self,
        key: SubmissionKey,
        answer: &JobAnswer,
        now: UnixTime,
        retention: Duration,
    ) {
        self.running -= 1;
        let outcome = &answer.outcome;
        if answer.assumes_sole_attempt || matches!(outcome, Outcome::Unknown { .. }) {
            self.by_key.remove(&key);
            return;
        }
        let len = stored_size(outcome);
        let until = now + retention;
        self.stored.push_back(StoredAnswer { key, until, len });
        self.stored_len += len;
        self.drop_expired(now);
    }

    /// Drops expired answers, and the oldest ones beyond the memory limit.
    pub(crate) fn drop_expired(&mut self, now: UnixTime) {
        let is_expired = |stored: &mut StoredAnswer| stored.until <= now;
        while let Some(stored) = self.stored.pop_front_if(is_expired) {
            self.drop_answer(&stored);
        }
        while self.stored_len > ANSWER_MEMORY_LIMIT_BYTES
            && let Some(stored) = self.stored.pop_front()
        {
            self.drop_answer(&stored);
        }
    }

    fn drop_answer(&mut self, stored: &StoredAnswer) {
        self.stored_len -= stored.len;
        self.by_key.remove(&stored.key);
    }
}

/// Returns the size of a stored answer, in bytes.
fn stored_size(outcome: &Outcome) -> usize {
    let results = match outcome {
        Outcome::Complete { results } => results.iter().map(Vec::len).sum(),
        _ => 0,
    };
    ANSWER_OVERHEAD_BYTES + results
}
