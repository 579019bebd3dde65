//! Handling of requests about kept jobs: submit, show, cancel and count.
//!
//! Responses to a submission:
//!
//! | outcome | status |
//! |---|---|
//! | the group has stored the job, now or before | 200 |
//! | the group has stored a different job under this ID | 409 |
//! | the dispatcher refuses the job (`kept_admission`), and the group does not know it | 503 |
//! | the submission has no effect: no lease, no leader | 503 |
//! | the submission has no effect: no capacity or a disk error, and the group does not know the job | 503 |
//! | the outcome is unknown after [`SUBMIT_TIMEOUT`] or the caller's timeout | 504 |
//!
//! After 503 the caller treats the job as not run. After 504 it resends the job, which is idempotent. So a resent job must not get 503 if
//! the group can tell that it has the job.

use std::time::Duration;

use cloverfold_base::hash_parts;
use cloverfold_configuration::Route;
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_kept_jobs::{
    CallAnswer, CallRefusal, CancelOutcome, JobPhase, NewJob, RefusalReason, TerminalState,
};
use cloverfold_lease::{JobRefusal, JobRequest, RETRY_AFTER};
use http::StatusCode;

use crate::protocol::JobState;
use crate::request_handler::RequestHandler;
use crate::responses::{NoSuchJob, job_state_response, no_such_job_response, refusal_response};
use crate::state::GroupAnswer;
use crate::stored_job::StoredJob;

/// Timeout for a group to accept a job; long enough for an election and two retries.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for a group to answer a query; long enough for an election.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for a group to cancel a job; long enough for an election and two retries.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Fraction of the caller's timeout within which the entry responds.
const CALLER_TIMEOUT_FRACTION: f64 = 0.9;

impl RequestHandler {
    /// Submits a kept job and waits until its group has stored it.
    pub(crate) async fn submit_kept(
        &self,
        id: &str,
        route: &Route,
        request: &Request,
        job: &JobRequest,
    ) -> Response {
        let started_at = self.now();
        let timeout = self.call_timeout(request, SUBMIT_TIMEOUT);
        let refusal = self.lock().find_kept_refusal(job);
        if let Some(cause) = refusal
            && !self.is_known(id, timeout).await
        {
            return self.refuse_kept(id, route, cause);
        }
        let new_job = build_submission(id, route, request, job);
        let answer = self.lock().submit_kept(new_job, timeout);
        let mut answer = receive(answer).await;
        if is_refused_by_reachable_group(answer) && self.is_known(id, timeout).await {
            answer = CallAnswer::Unknown;
        }
        let took = self.now().saturating_duration_since(started_at);
        self.answer_submission(id, route, answer, took)
    }

    /// Returns whether a group has a job: the caller of a resent job must not learn that it will not run.
    async fn is_known(&self, id: &str, timeout: Duration) -> bool {
        let shown = self.lock().show_kept(id, timeout);
        matches!(receive(shown).await, CallAnswer::Shown(Some(_)))
    }

    fn refuse_kept(&self, id: &str, route: &Route, cause: JobRefusal) -> Response {
        let cause = cause.as_str();
        log::info!(job = id, route = route.name.as_str(), cause; "kept job refused");
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
                log::debug!(job = id, route, took_ms; "kept job stored");
                json_response(StatusCode::OK, "{}")
            }
            CallAnswer::Conflict => {
                self.metrics.count_answer("kept_conflict");
                log::info!(job = id, route; "submission refused; a different kept job has this ID");
                conflict_response()
            }
            CallAnswer::Refused(cause) => {
                let cause = cause.as_str();
                self.metrics.count_answer("kept_refused");
                log::info!(job = id, route, cause, took_ms; "kept job refused");
                refusal_response(&format!("not run: {cause}\n"), RETRY_AFTER)
            }
            _ => {
                self.metrics.count_answer("kept_unknown");
                log::warn!(job = id, route, took_ms; "the outcome of submitting a kept job is unknown");
                plain_response(StatusCode::GATEWAY_TIMEOUT, "not known\n")
            }
        }
    }

    /// Responds with the state of a kept job.
    pub(crate) async fn show_kept(&self, id: &str, request: &Request) -> Response {
        let timeout = self.call_timeout(request, QUERY_TIMEOUT);
        let answer = self.lock().show_kept(id, timeout);
        match receive(answer).await {
            CallAnswer::Shown(Some(phase)) => {
                job_state_response(self.protocol.as_ref(), to_job_state(phase))
            }
            CallAnswer::Shown(None) => no_such_job_response(id, NoSuchJob::SaidByGroup),
            other => unavailable_response(id, "cannot show kept job", other),
        }
    }

    pub(crate) async fn cancel_kept(&self, id: &str, request: &Request) -> Response {
        let timeout = self.call_timeout(request, CANCEL_TIMEOUT);
        let answer = self.lock().cancel_kept(id, timeout);
        match receive(answer).await {
            CallAnswer::Cancelled(CancelOutcome::Cancelled) => {
                log::info!(job = id; "kept job cancelled");
                json_response(StatusCode::OK, "{}")
            }
            CallAnswer::Cancelled(CancelOutcome::Ended(_) | CancelOutcome::Unknown) => {
                no_such_job_response(id, NoSuchJob::SaidByGroup)
            }
            other => unavailable_response(id, "cannot cancel kept job", other),
        }
    }

    /// Returns the number of kept jobs of a queue that have not started; `None` while it is unknown.
    pub(crate) async fn count_kept(&self, queue: &str, request: &Request) -> Option<usize> {
        if let Some(count) = self.pending.find_fresh(queue, self.now()) {
            return Some(count);
        }
        let queried_at = self.now();
        let timeout = self.call_timeout(request, QUERY_TIMEOUT);
        let answers = self.lock().count_kept(queue, timeout)?;
        let mut count = 0;
        for answer in answers {
            let CallAnswer::Pending(pending) = receive(answer).await else {
                return self.pending.find_usable(queue, self.now());
            };
            count += pending as usize;
        }
        self.pending.record(queue, count, queried_at);
        Some(count)
    }

    /// Returns the timeout of a call to a group: `max_timeout`, or less if the caller's own timeout is shorter.
    fn call_timeout(&self, request: &Request, max_timeout: Duration) -> Duration {
        match self.protocol.read_caller_timeout(&request.headers) {
            Some(caller_timeout) => {
                max_timeout.min(caller_timeout.mul_f64(CALLER_TIMEOUT_FRACTION))
            }
            None => max_timeout,
        }
    }
}

/// Returns the submission to the group. Two submissions are the same job if the queue and every byte of the body match.
fn build_submission(id: &str, route: &Route, request: &Request, job: &JobRequest) -> NewJob {
    NewJob {
        id: id.into(),
        queue: route.name.clone(),
        digest: hash_parts(&[route.name.as_bytes(), &request.body]),
        body: StoredJob::new(route, &request.body).encode(),
        tasks: job.steps.iter().map(|step| step.count).sum(),
        max_attempts: route.max_attempts,
    }
}

/// Waits for the reply of a group.
async fn receive(answer: GroupAnswer) -> CallAnswer {
    // The state drops the sender without an answer only when the process exits.
    answer.await.unwrap_or(CallAnswer::Unknown)
}

/// Returns whether a submission was refused although the leader of the group can tell whether it has the job.
fn is_refused_by_reachable_group(answer: CallAnswer) -> bool {
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

fn to_job_state(phase: JobPhase) -> JobState {
    match phase {
        JobPhase::Queued => JobState::Queued,
        JobPhase::Running => JobState::Running,
        JobPhase::Ended(TerminalState::Completed) => JobState::Completed,
        JobPhase::Ended(TerminalState::Failed) => JobState::Failed,
        JobPhase::Ended(TerminalState::Cancelled) => JobState::Cancelled,
    }
}

/// Returns the response to a submission whose ID belongs to a different kept job.
pub(crate) fn conflict_response() -> Response {
    plain_response(StatusCode::CONFLICT, "another job of this name is kept\n")
}

/// Returns the response after a failed call to a group: 503 if the call had no effect, 504 if that is unknown.
fn unavailable_response(id: &str, what: &'static str, answer: CallAnswer) -> Response {
    if let CallAnswer::Refused(cause) = answer {
        let cause = cause.as_str();
        log::info!(job = id, cause; "{what}");
        return refusal_response(&format!("not known: {cause}\n"), RETRY_AFTER);
    }
    log::info!(job = id, cause = "Unanswered"; "{what}");
    plain_response(StatusCode::GATEWAY_TIMEOUT, "not known\n")
}
