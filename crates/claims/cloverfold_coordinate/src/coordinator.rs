//! Takes submissions in and keeps their answers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase, ThreadState};
use cloverfold_base::{UnixTime, unix_now};
use cloverfold_claim::Claims;
use cloverfold_claims_core::{
    Outcome, ReasonCode, RetryBudget, Submission, SubmissionKey, format_key,
};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::Network;
use tokio::time::sleep;

use crate::admitter::Admitter;
use crate::driver::drive_job;
use crate::jobs::{AnswerReceiver, AnswerSender, JobAnswer, Jobs, Joining};
use crate::messages::{JobState, Query, QueryReply, Submit, SubmitReply, Verdict};
use crate::plugin::CoordinateMetrics;

const COLLECT_INTERVAL: Duration = Duration::from_secs(1);
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Runs the jobs whose keys this guard holds.
#[derive(Clone)]
pub struct Coordinator {
    pub(crate) inner: Arc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) admitter: Admitter,
    pub(crate) claims: Claims,
    pub(crate) membership: Membership,
    pub(crate) directory: Arc<Directory>,
    pub(crate) network: Network,
    pub(crate) cell: Arc<CellSettings>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) jobs: ThreadState<Jobs>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) metrics: CoordinateMetrics,
}

impl Coordinator {
    /// Tells whether this guard coordinates all jobs now.
    pub(crate) async fn is_acting_lead(&self) -> bool {
        let lead = self.inner.membership.find_acting_lead().await;
        lead == Some(self.inner.claims.own().guard)
    }

    pub(crate) fn admitter(&self) -> &Admitter {
        &self.inner.admitter
    }

    pub(crate) fn claims(&self) -> &Claims {
        &self.inner.claims
    }

    pub(crate) fn membership(&self) -> &Membership {
        &self.inner.membership
    }

    pub(crate) fn directory(&self) -> &Directory {
        &self.inner.directory
    }

    pub(crate) fn network(&self) -> &Network {
        &self.inner.network
    }

    pub(crate) fn cell(&self) -> &CellSettings {
        &self.inner.cell
    }

    pub(crate) fn metrics(&self) -> &CoordinateMetrics {
        &self.inner.metrics
    }

    /// Returns until when fences must remember the tasks of a submission.
    pub(crate) fn keep_until(&self, submission: &Submission) -> UnixTime {
        submission.submitted_at + self.inner.cell.retention() * 2
    }

    pub(crate) fn take_retry(&self) -> bool {
        let budget = self.inner.retry_budget.lock();
        let is_allowed = budget.unwrap_or_else(PoisonError::into_inner).take_retry();
        if is_allowed {
            self.inner.metrics.retries.inc();
        }
        is_allowed
    }

    pub(crate) fn record_success(&self) {
        let budget = self.inner.retry_budget.lock();
        budget
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }

    /// Answers a submission: joins its job or drives it.
    pub(crate) async fn handle_submit(self, submit: Submit) -> SubmitReply {
        let key = submit.submission.key;
        let attempt = submit.attempt;
        let verdict = self.decide_submit(submit).await;
        SubmitReply {
            key,
            attempt,
            verdict,
        }
    }

    async fn decide_submit(&self, submit: Submit) -> Verdict {
        let key = submit.submission.key;
        let is_sole_attempt = submit.is_sole_attempt;
        if !self.inner.claims.can_coordinate(&key).await {
            return Verdict::NotHere(ReasonCode::NoQuorum);
        }
        let may_begin = self.inner.lifecycle.phase() == Phase::Serving;
        let digest = submit.digest;
        let jobs = &self.inner.jobs;
        let joining = jobs
            .with(move |jobs| jobs.join_or_begin(key, digest, may_begin))
            .await;
        let rx = match joining {
            None => return Verdict::NotHere(ReasonCode::Leaving),
            Some(Joining::Conflict) => {
                let detail = "the idempotency key was used before with another body; use a new key";
                let outcome = Outcome::not_run(ReasonCode::KeyConflict, detail, None);
                return Verdict::Answered(outcome);
            }
            Some(Joining::Known(rx)) => rx,
            Some(Joining::Begun(tx)) => {
                let rx = tx.subscribe();
                tokio::spawn(self.clone().run_job(submit, tx));
                rx
            }
        };
        match wait_for_answer(rx).await {
            // What this guard knows alone proves nothing for a caller that was elsewhere too.
            Some(answer) if answer.rests_on_sole_attempt && !is_sole_attempt => {
                Verdict::NotHere(ReasonCode::Unavailable)
            }
            Some(answer) => Verdict::Answered(answer.outcome.clone()),
            None => Verdict::NotHere(ReasonCode::Unavailable),
        }
    }

    async fn run_job(self, submit: Submit, tx: AnswerSender) {
        let key = submit.submission.key;
        let answer = drive_job(self.clone(), submit).await;
        self.inner.metrics.count_job(&answer.outcome);
        log_answer(&key, &answer.outcome);
        let kept = answer.clone();
        let retention = self.inner.cell.answer_retention();
        let now = unix_now();
        self.inner
            .jobs
            .with(move |jobs| jobs.finish(key, &kept, now, retention))
            .await;
        // Callers may all have gone; the answer is kept for those who ask again.
        tx.send_replace(Some(Arc::new(answer)));
    }

    /// Says what is known of a submission.
    pub(crate) async fn handle_query(self, query: Query) -> QueryReply {
        let key = query.key;
        let state = self.find_state(key).await;
        QueryReply { key, state }
    }

    async fn find_state(&self, key: SubmissionKey) -> JobState {
        let known = self.inner.jobs.with(move |jobs| jobs.find(&key)).await;
        if let Some(rx) = known {
            let answer = rx.borrow().clone();
            return match answer {
                Some(answer) => JobState::Answered(answer.outcome.clone()),
                None => JobState::Running,
            };
        }
        let submission = Submission {
            key,
            submitted_at: unix_now(),
        };
        match self.inner.claims.read(submission).await {
            Ok(Some(claim)) => match claim.refusal {
                Some(reason) => JobState::Refused(reason),
                None => JobState::Claimed {
                    tasks: claim.tasks.len() as u32,
                },
            },
            Ok(None) => JobState::NotSeen,
            Err(_) => JobState::CannotTell,
        }
    }

    /// Drops answers past their time, as long as the process lives.
    pub(crate) async fn collect(self) {
        loop {
            sleep(COLLECT_INTERVAL).await;
            let now = unix_now();
            self.inner.jobs.post(move |jobs| jobs.collect_expired(now));
        }
    }

    /// Waits until every job that this guard drives is answered.
    pub(crate) async fn drain(self) {
        while self.inner.jobs.with(|jobs| jobs.running()).await > 0 {
            sleep(DRAIN_POLL).await;
        }
    }
}

fn log_answer(key: &SubmissionKey, outcome: &Outcome) {
    let key = format_key(key);
    match outcome {
        Outcome::Complete { .. } => log::debug!(key = key; "job complete"),
        _ => log::warn!(key = key; "job ended: {outcome:?}"),
    }
}

async fn wait_for_answer(mut rx: AnswerReceiver) -> Option<Arc<JobAnswer>> {
    let answer = rx.wait_for(Option::is_some).await.ok()?;
    answer.clone()
}
