//! The jobs that this guard drives, and the answers that it keeps.
//!
//! A plain value that lives on the control thread of [`crate::Coordinator`].

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::UnixTime;
use cloverfold_claims_core::{BodyDigest, Outcome, SubmissionKey};
use tokio::sync::watch;

/// Bytes of results that are kept for callers that ask again. Chosen, not measured.
const ANSWER_MEMORY: usize = 8 * 1024 * 1024;
/// Bytes that one kept answer counts beside its results. Chosen, not measured.
const ANSWER_OVERHEAD: usize = 256;

/// Receives the answer of a job.
pub(crate) type AnswerReceiver = watch::Receiver<Option<Arc<JobAnswer>>>;
/// Where the driver of a job publishes its answer.
pub(crate) type AnswerSender = watch::Sender<Option<Arc<JobAnswer>>>;

/// The answer of a job, and what proves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JobAnswer {
    /// What the caller is told.
    pub(crate) outcome: Outcome,
    /// Whether it holds only if no other guard had the submission.
    pub(crate) rests_on_sole_attempt: bool,
}

impl JobAnswer {
    /// Returns an answer that rests on the group's claim, or that nothing is known.
    pub(crate) fn proved(outcome: Outcome) -> Self {
        Self {
            outcome,
            rests_on_sole_attempt: false,
        }
    }

    /// Returns an answer that rests on no other guard having had the submission.
    pub(crate) fn of_sole_attempt(outcome: Outcome) -> Self {
        Self {
            outcome,
            rests_on_sole_attempt: true,
        }
    }
}

/// Jobs by key.
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

/// How a request relates to the jobs known here.
pub(crate) enum Joining {
    /// The job runs or is answered here.
    Known(AnswerReceiver),
    /// The caller drives the job now.
    Begun(AnswerSender),
    /// The key belongs to another body.
    Conflict,
}

impl Jobs {
    /// Joins a job, or begins to drive it when `may_begin`; `None` when it may not.
    pub(crate) fn join_or_begin(
        &mut self,
        key: SubmissionKey,
        digest: BodyDigest,
        may_begin: bool,
    ) -> Option<Joining> {
        if let Some(slot) = self.slots.get(&key) {
            let is_same = slot.digest == digest;
            return Some(if is_same {
                Joining::Known(slot.rx.clone())
            } else {
                Joining::Conflict
            });
        }
        if !may_begin {
            return None;
        }
        let (tx, rx) = watch::channel(None);
        self.slots.insert(key, JobSlot { digest, rx });
        self.running += 1;
        Some(Joining::Begun(tx))
    }

    /// Returns the answer or the progress of a job that is known here.
    pub(crate) fn find(&self, key: &SubmissionKey) -> Option<AnswerReceiver> {
        self.slots.get(key).map(|slot| slot.rx.clone())
    }

    /// Returns the number of jobs without an answer.
    pub(crate) fn running(&self) -> usize {
        self.running
    }

    /// Records that a job is answered; an answer that proves nothing is not kept, so that the job can be tried again.
    pub(crate) fn finish(
        &mut self,
        key: SubmissionKey,
        answer: &JobAnswer,
        now: UnixTime,
        retention: Duration,
    ) {
        self.running -= 1;
        let outcome = &answer.outcome;
        if answer.rests_on_sole_attempt || matches!(outcome, Outcome::Unknown { .. }) {
            self.slots.remove(&key);
            return;
        }
        let len = measure_outcome(outcome);
        let until = now + retention;
        self.kept.push_back(KeptAnswer { key, until, len });
        self.kept_len += len;
        self.collect_expired(now);
    }

    /// Drops answers past their time, and the oldest beyond the memory set aside.
    pub(crate) fn collect_expired(&mut self, now: UnixTime) {
        let is_over = |kept: &mut KeptAnswer| kept.until <= now;
        while let Some(kept) = self.kept.pop_front_if(is_over) {
            self.drop_answer(&kept);
        }
        while self.kept_len > ANSWER_MEMORY
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

/// Returns the bytes that a kept answer counts.
fn measure_outcome(outcome: &Outcome) -> usize {
    let results = match outcome {
        Outcome::Complete { results } => results.iter().map(Vec::len).sum(),
        _ => 0,
    };
    ANSWER_OVERHEAD + results
}
