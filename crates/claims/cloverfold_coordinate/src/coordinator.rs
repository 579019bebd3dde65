//! Handles submissions and queries, and stores the answers of jobs ([`Jobs`], on the control thread).

use std::sync::Arc;
use std::time::Duration;

use cloverfold_app::{Lifecycle, Phase, ThreadState};
use cloverfold_base::unix_now;
use cloverfold_claims_core::{Outcome, ReasonCode, Submission, SubmissionKey, format_key};
use tokio::time::sleep;

use crate::driver::drive_job;
use crate::job_context::JobContext;
use crate::jobs::{AnswerReceiver, AnswerSender, JobAnswer, Jobs, JoinResult};
use crate::messages::{JobState, Query, QueryReply, Submit, SubmitReply, SubmitResult};

/// How often expired answers are dropped.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// How often a draining guard checks whether its jobs are answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Coordinates the jobs that entries submit to this guard.
#[derive(Clone)]
pub struct Coordinator {
    pub(crate) context: Arc<JobContext>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) jobs: ThreadState<Jobs>,
}

impl Coordinator {
    /// Answers a submission: joins its job if this guard has it, otherwise runs it.
    pub(crate) async fn handle_submit(self, submit: Submit) -> SubmitReply {
        let key = submit.submission.key;
        let attempt = submit.attempt;
        let verdict = self.join_or_run(submit).await;
        SubmitReply {
            key,
            attempt,
            verdict,
        }
    }

    async fn join_or_run(&self, submit: Submit) -> SubmitResult {
        let key = submit.submission.key;
        let is_sole_attempt = submit.is_sole_attempt;
        if !self.context.claims.can_coordinate(&key).await {
            return SubmitResult::NotHere(ReasonCode::NoQuorum);
        }
        let may_start = self.lifecycle.phase() == Phase::Serving;
        let digest = submit.digest;
        let jobs = &self.jobs;
        let joined = jobs
            .with(move |jobs| jobs.join_or_start(key, digest, may_start))
            .await;
        let rx = match joined {
            None => return SubmitResult::NotHere(ReasonCode::Leaving),
            Some(JoinResult::Conflict) => {
                let detail = "the idempotency key was used before with another body; use a new key";
                let outcome = Outcome::not_run(ReasonCode::KeyConflict, detail, None);
                return SubmitResult::Answered(outcome);
            }
            Some(JoinResult::Joined(rx)) => rx,
            Some(JoinResult::Started(tx)) => {
                let rx = tx.subscribe();
                tokio::spawn(self.clone().run_job(submit, tx));
                rx
            }
        };
        match wait_for_answer(rx).await {
            // Another guard may have the submission, so an answer that assumes the opposite is not valid.
            Some(answer) if answer.assumes_sole_attempt && !is_sole_attempt => {
                SubmitResult::NotHere(ReasonCode::Unavailable)
            }
            Some(answer) => SubmitResult::Answered(answer.outcome.clone()),
            None => SubmitResult::NotHere(ReasonCode::Unavailable),
        }
    }

    /// Runs a job, then stores and publishes its answer.
    async fn run_job(self, submit: Submit, tx: AnswerSender) {
        let key = submit.submission.key;
        let answer = drive_job(self.context.clone(), submit).await;
        self.context.metrics.count_job(&answer.outcome);
        log_answer(&key, &answer.outcome);
        let stored = answer.clone();
        let retention = self.context.cell.answer_retention;
        let now = unix_now();
        self.jobs
            .with(move |jobs| jobs.finish(key, &stored, now, retention))
            .await;
        // All callers may be gone; later requests get the stored answer.
        tx.send_replace(Some(Arc::new(answer)));
    }

    /// Returns the state of a submission.
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
            // The claim calls have logged which replicas failed.
            Err(_) => JobState::CannotTell,
        }
    }

    /// Drops expired answers until the process ends.
    pub(crate) async fn purge(self) {
        loop {
            sleep(PURGE_INTERVAL).await;
            let now = unix_now();
            self.jobs.post(move |jobs| jobs.drop_expired(now));
        }
    }

    /// Waits until every job of this guard is answered.
    pub(crate) async fn drain(self) {
        while self.jobs.with(|jobs| jobs.running()).await > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
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

/// Waits for the answer of a job; returns `None` if its driver ended without one.
async fn wait_for_answer(mut rx: AnswerReceiver) -> Option<Arc<JobAnswer>> {
    let answer = rx.wait_for(Option::is_some).await.ok()?;
    answer.clone()
}
