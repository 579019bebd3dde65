//! The running jobs of this guard and the stored answers.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::UnixTime;
use cloverfold_claims_core::{BodyDigest, Outcome, SubmissionKey};
use tokio::sync::watch;

/// Memory limit of the stored answers, in bytes.
const ANSWER_MEMORY_LIMIT: usize = 8 * 1024 * 1024;
/// Bytes that a stored answer counts beyond its results.
const ANSWER_OVERHEAD: usize = 256;

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
    slots: HashMap<SubmissionKey, JobSlot>,
    kept: VecDeque<KeptAnswer>,
    kept_len: usize,
    running: usize,
}

#[derive(Debug)]
struct JobSlot {
    digest: BodyDigest,
    rx: AnswerReceiver,
}

#[derive(Debug)]
struct KeptAnswer {
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
        if let Some(slot) = self.slots.get(&key) {
            let is_same = slot.digest == digest;
            return Some(if is_same {
                JoinResult::Joined(slot.rx.clone())
            } else {
                JoinResult::Conflict
            });
        }
        if !may_start {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        self.slots.insert(key, JobSlot { digest, rx });
        self.running += 1;
        Some(JoinResult::Started(tx))
    }

    /// Returns the receiver of a job's answer, if the job is running or its answer is stored.
    pub(crate) fn find(&self, key: &SubmissionKey) -> Option<AnswerReceiver> {
        self.slots.get(key).map(|slot| slot.rx.clone())
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
            self.slots.remove(&key);
            return;
        }
        let len = stored_size(outcome);
        let until = now + retention;
        self.kept.push_back(KeptAnswer { key, until, len });
        self.kept_len += len;
        self.drop_expired(now);
    }

    /// Drops expired answers, and the oldest ones beyond the memory limit.
    pub(crate) fn drop_expired(&mut self, now: UnixTime) {
        let is_expired = |kept: &mut KeptAnswer| kept.until <= now;
        while let Some(kept) = self.kept.pop_front_if(is_expired) {
            self.drop_answer(&kept);
        }
        while self.kept_len > ANSWER_MEMORY_LIMIT
            && let Some(kept) = self.kept.pop_front()
        {
            self.drop_answer(&kept);
        }
    }

    fn drop_answer(&mut self, kept: &KeptAnswer) {
        self.kept_len -= kept.len;
        self.slots.remove(&kept.key);
    }
}

/// Returns the size of a stored answer, in bytes.
fn stored_size(outcome: &Outcome) -> usize {
    let results = match outcome {
        Outcome::Complete { results } => results.iter().map(Vec::len).sum(),
        _ => 0,
    };
    ANSWER_OVERHEAD + results
}
