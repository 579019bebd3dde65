//! Handles submissions and queries, and keeps the answers of jobs.
//!
//! Owns the jobs driven here ([`Jobs`], on the control thread). Relies on [`drive_job`] to run one job to its answer.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase, ThreadState};
use cloverfold_base::unix_now;
use cloverfold_claims_core::{Outcome, ReasonCode, Submission, SubmissionKey, format_key};
use tokio::time::sleep;

use crate::driver::drive_job;
use crate::job_context::JobContext;
use crate::jobs::{AnswerReceiver, AnswerSender, JobAnswer, Jobs, Joining};
use crate::messages::{JobState, Query, QueryReply, Submit, SubmitReply, SubmitResult};

/// How often expired answers are dropped. Chosen, not measured.
const COLLECT_INTERVAL: Duration = Duration::from_secs(1);
/// How often a draining guard looks whether its jobs are answered. Chosen, not measured.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// Coordinates the jobs that this guard was asked for.
#[derive(Clone)]
pub struct Coordinator {
    pub(crate) context: Arc<JobContext>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) jobs: ThreadState<Jobs>,
}

impl Coordinator {
    /// Answers a submission: joins its job if that is known here, else drives it.
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

    async fn decide_submit(&self, submit: Submit) -> SubmitResult {
        let key = submit.submission.key;
        let is_sole_attempt = submit.is_sole_attempt;
        if !self.context.claims.can_coordinate(&key).await {
            return SubmitResult::NotHere(ReasonCode::NoQuorum);
        }
        let may_begin = self.lifecycle.phase() == Phase::Serving;
        let digest = submit.digest;
        let jobs = &self.jobs;
        let joining = jobs
            .with(move |jobs| jobs.join_or_begin(key, digest, may_begin))
            .await;
        let rx = match joining {
            None => return SubmitResult::NotHere(ReasonCode::Leaving),
            Some(Joining::Conflict) => {
                let detail = "the idempotency key was used before with another body; use a new key";
                let outcome = Outcome::not_run(ReasonCode::KeyConflict, detail, None);
                return SubmitResult::Answered(outcome);
            }
            Some(Joining::Known(rx)) => rx,
            Some(Joining::Begun(tx)) => {
                let rx = tx.subscribe();
                tokio::spawn(self.clone().run_job(submit, tx));
                rx
            }
        };
        match wait_for_answer(rx).await {
            // Another guard may have had the submission, so what this one alone knows proves nothing.
            Some(answer) if answer.rests_on_sole_attempt && !is_sole_attempt => {
                SubmitResult::NotHere(ReasonCode::Unavailable)
            }
            Some(answer) => SubmitResult::Answered(answer.outcome.clone()),
            None => SubmitResult::NotHere(ReasonCode::Unavailable),
        }
    }

    /// Drives a job, and keeps and publishes its answer.
    async fn run_job(self, submit: Submit, tx: AnswerSender) {
        let key = submit.submission.key;
        let answer = drive_job(self.context.clone(), submit).await;
        self.context.metrics.count_job(&answer.outcome);
        log_answer(&key, &answer.outcome);
        let kept = answer.clone();
        let retention = self.context.cell.answer_retention;
        let now = unix_now();
        self.jobs
            .with(move |jobs| jobs.finish(key, &kept, now, retention))
            .await;
        // All callers may have gone; the answer is kept for those that ask again.
        tx.send_replace(Some(Arc::new(answer)));
    }

    /// Answers what is known of a submission.
    pub(crate) async fn handle_query(self, query: Query) -> QueryReply {
        let key = query.key;
        let state = self.find_state(key).await;
        QueryReply { key, state }
    }

    async fn find_state(&self, key: SubmissionKey) -> JobState {
        let known = self.jobs.with(move |jobs| jobs.find(&key)).await;
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
        match self.context.claims.read(submission).await {
            Ok(Some(claim)) => match claim.refusal {
                Some(reason) => JobState::Refused(reason),
                None => JobState::Claimed {
                    tasks: claim.tasks.len() as u32,
                },
            },
            Ok(None) => JobState::NotSeen,
            // Which replicas failed to answer was logged by the claim calls.
            Err(_) => JobState::CannotTell,
        }
    }

    /// Drops answers that are past their time, until the process ends.
    pub(crate) async fn collect(self) {
        loop {
            sleep(COLLECT_INTERVAL).await;
            let now = unix_now();
            self.jobs.post(move |jobs| jobs.collect_expired(now));
        }
    }

    /// Waits until every job that this guard drives is answered.
    pub(crate) async fn drain(self) {
        while self.jobs.with(|jobs| jobs.running()).await > 0 {
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

/// Waits for the answer of a job; `None` if its driver ended without one.
async fn wait_for_answer(mut rx: AnswerReceiver) -> Option<Arc<JobAnswer>> {
    let answer = rx.wait_for(Option::is_some).await.ok()?;
    answer.clone()
}
