//! Callers' requests about kept jobs: submits, shows, cancels and counts them, and answers.
//!
//! Decision: how a submission is answered. Rule:
//!
//! | | answer |
//! |---|---|
//! | the group keeps the job, now or before | 200 |
//! | it keeps another of this name | 409 |
//! | it is refused here (`kept_admission` of the dispatcher) and not known to the group | 503 |
//! | no copy of the submission has an effect: no lease, no leader | 503 |
//! | the same, for want of room or by the disk, and the group does not know the job | 503 |
//! | none of these is known within [`SUBMIT_LIMIT`], or the time that the caller waits | 504 |
//!
//! Inputs: the answer of the group, the decision of the dispatcher, the caller's patience.
//!
//! Reason: after 503 the caller counts the job as not run; after 504 it sends the same again, and it remains one job. So a job that is sent
//! again must not be refused where the group can tell that it knows it.
//!
//! Owns the counts of queues that were asked for of late.

use std::time::Duration;

use cloverfold_base::hash_parts;
use cloverfold_configuration::Route;
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_kept_jobs::{
    CallAnswer, CallRefusal, CancelOutcome, JobPhase, NewJob, RefusalReason, TerminalState,
};
use cloverfold_lease::{JobRefusal, JobRequest, RETRY_AFTER};
use http::StatusCode;

use crate::callers::Callers;
use crate::kept_body::KeptBody;
use crate::protocol::JobState;
use crate::responses::{job_state_response, no_such_job_response, refusal_response};
use crate::state::GroupAnswer;

/// How long a group may take to accept a job. An election of 0.7 s and two repeats fit.
const SUBMIT_LIMIT: Duration = Duration::from_millis(2_500);
/// How long a group may take to answer a question. An election fits.
const SHOW_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a group may take to cancel a job. As [`SUBMIT_LIMIT`].
const CANCEL_LIMIT: Duration = Duration::from_millis(2_500);
/// Share of the time that a caller waits after which it gets its answer.
const ANSWERED_SHARE: f64 = 0.9;

impl Callers {
    /// Submits a kept job and waits until its group has accepted it.
    pub(crate) async fn submit_kept(
        &self,
        id: &str,
        route: &Route,
        request: &Request,
        job: &JobRequest,
    ) -> Response {
        let began = self.now();
        let limit = self.limit(request, SUBMIT_LIMIT);
        let refusal = self.lock().find_kept_refusal(job);
        if let Some(cause) = refusal
            && !self.is_known(id, limit).await
        {
            return self.refuse_kept(id, route, cause);
        }
        let new_job = describe_job(id, route, request, job);
        let answer = self.lock().submit_kept(new_job, limit);
        let mut answer = receive(answer).await;
        if is_refused_in_touch(answer) && self.is_known(id, limit).await {
            answer = CallAnswer::Unknown;
        }
        let took = self.now().saturating_duration_since(began);
        self.answer_submission(id, route, answer, took)
    }

    /// Returns whether a group knows a job: one that is sent again must not be told that it never runs.
    async fn is_known(&self, id: &str, limit: Duration) -> bool {
        let shown = self.lock().show_kept(id, limit);
        matches!(receive(shown).await, CallAnswer::Shown(Some(_)))
    }

    fn refuse_kept(&self, id: &str, route: &Route, cause: JobRefusal) -> Response {
        let cause = cause.as_str();
        log::info!(job = id, route = route.name.as_str(), cause; "a kept job is refused");
        self.metrics.count_answer("kept_refused");
        refusal_response(&format!("not run: {cause}\n"), RETRY_AFTER)
    }

    fn answer_submission(
        &self,
        id: &str,
        route: &Route,
        answer: CallAnswer,
        took: Duration,
    ) -> Response {
        let route = route.name.as_str();
        let took_ms = took.as_millis() as u64;
        match answer {
            CallAnswer::Kept => {
                self.metrics.count_answer("kept");
                self.metrics.observe_acceptance_time(took);
                log::debug!(job = id, route, took_ms; "a job is kept");
                json_response(StatusCode::OK, "{}")
            }
            CallAnswer::Conflict => {
                self.metrics.count_answer("kept_conflict");
                log::info!(job = id, route; "another job of this name is kept");
                conflict_response()
            }
            CallAnswer::Refused(cause) => {
                let cause = cause.as_str();
                self.metrics.count_answer("kept_refused");
                log::info!(job = id, route, cause, took_ms; "a kept job is refused");
                refusal_response(&format!("not run: {cause}\n"), RETRY_AFTER)
            }
            _ => {
                self.metrics.count_answer("kept_unknown");
                log::warn!(job = id, route, took_ms; "whether a job is kept is not known");
                plain_response(StatusCode::GATEWAY_TIMEOUT, "not known\n")
            }
        }
    }

    /// Answers how far a kept job is.
    pub(crate) async fn show_kept(&self, id: &str, request: &Request) -> Response {
        let limit = self.limit(request, SHOW_LIMIT);
        let answer = self.lock().show_kept(id, limit);
        match receive(answer).await {
            CallAnswer::Shown(Some(phase)) => {
                job_state_response(self.protocol.as_ref(), state_of(phase))
            }
            CallAnswer::Shown(None) => no_such_job_response(),
            other => unavailable_response(id, "a job cannot be shown", other),
        }
    }

    /// Cancels a kept job.
    pub(crate) async fn cancel_kept(&self, id: &str, request: &Request) -> Response {
        let limit = self.limit(request, CANCEL_LIMIT);
        let answer = self.lock().cancel_kept(id, limit);
        match receive(answer).await {
            CallAnswer::Cancelled(CancelOutcome::Cancelled) => {
                log::info!(job = id; "a kept job is cancelled");
                json_response(StatusCode::OK, "{}")
            }
            CallAnswer::Cancelled(CancelOutcome::Ended(_) | CancelOutcome::Unknown) => {
                no_such_job_response()
            }
            other => unavailable_response(id, "a job cannot be cancelled", other),
        }
    }

    /// Counts the kept jobs of a queue that have not begun; `None` while that is not known.
    pub(crate) async fn count_kept(&self, queue: &str, request: &Request) -> Option<usize> {
        if let Some(count) = self.pending.find_fresh(queue, self.now()) {
            return Some(count);
        }
        let asked_at = self.now();
        let limit = self.limit(request, SHOW_LIMIT);
        let answers = self.lock().count_kept(queue, limit);
        let mut count = 0;
        for answer in answers {
            let CallAnswer::Pending(pending) = receive(answer).await else {
                return self.pending.find_usable(queue, self.now());
            };
            count += pending as usize;
        }
        self.pending.record(queue, count, asked_at);
        Some(count)
    }

    /// Returns how long a call to a group may take.
    fn limit(&self, request: &Request, longest: Duration) -> Duration {
        match self.protocol.read_caller_timeout(&request.headers) {
            Some(patience) => longest.min(patience.mul_f64(ANSWERED_SHARE)),
            None => longest,
        }
    }
}

/// Returns what is submitted to the group. Two jobs are the same if the queue and every byte of the body are.
fn describe_job(id: &str, route: &Route, request: &Request, job: &JobRequest) -> NewJob {
    NewJob {
        id: id.into(),
        queue: route.name.clone(),
        digest: hash_parts(&[route.name.as_bytes(), &request.body]),
        body: KeptBody::new(route, &request.body).encode(),
        tasks: job.steps.iter().map(|step| step.count).sum(),
        max_attempts: route.max_attempts,
    }
}

/// Waits for the answer of a group.
async fn receive(answer: GroupAnswer) -> CallAnswer {
    // The state drops the sender without an answer only when the process ends.
    answer.await.unwrap_or(CallAnswer::Unknown)
}

/// Returns whether a group refused a submission whose leader can tell whether it knows the job.
fn is_refused_in_touch(answer: CallAnswer) -> bool {
    let CallAnswer::Refused(cause) = answer else {
        return false;
    };
    let is_disk_or_busy = |refusal| matches!(refusal, CallRefusal::Disk | CallRefusal::Busy);
    match cause {
        RefusalReason::Full => true,
        RefusalReason::ByGroup(refusal) => is_disk_or_busy(refusal),
        RefusalReason::NoGroups | RefusalReason::NoLease | RefusalReason::Busy => false,
    }
}

fn state_of(phase: JobPhase) -> JobState {
    match phase {
        JobPhase::Queued => JobState::Queued,
        JobPhase::Running => JobState::Running,
        JobPhase::Ended(TerminalState::Completed) => JobState::Completed,
        JobPhase::Ended(TerminalState::Failed) => JobState::Failed,
        JobPhase::Ended(TerminalState::Cancelled) => JobState::Cancelled,
    }
}

/// Returns that another job of this name is kept.
pub(crate) fn conflict_response() -> Response {
    plain_response(StatusCode::CONFLICT, "another job of this name is kept\n")
}

/// Returns that a group did not answer: 503 if the call certainly had no effect, 504 otherwise.
fn unavailable_response(id: &str, what: &'static str, answer: CallAnswer) -> Response {
    if let CallAnswer::Refused(cause) = answer {
        let cause = cause.as_str();
        log::info!(job = id, cause; "{what}");
        return refusal_response(&format!("not known: {cause}\n"), RETRY_AFTER);
    }
    log::info!(job = id, cause = "Unanswered"; "{what}");
    plain_response(StatusCode::GATEWAY_TIMEOUT, "not known\n")
}
