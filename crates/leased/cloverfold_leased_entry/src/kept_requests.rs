//! Handling of requests about kept jobs: submit, show, cancel and count.
//!
//! Responses to a submission:
//!
//! | outcome | status |
//! |---|---|
//! | the group has stored the job, now or before | 200 |
//! | the group has stored a different job under this ID | 409 |
//! | this submission has no effect, and the group does not know the job | 503 |
//! | anything else | 504 |
//!
//! After 503 the caller treats the job as not run. After 504 it resends the job, which is idempotent. The caller may have sent the job
//! before, so that a submission has no effect does not tell that the job never runs; only its group can tell.

use std::time::Duration;

use cloverfold_base::hash_parts;
use cloverfold_configuration::Route;
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_kept_jobs::{
    CallAnswer, CallRefusal, CancelOutcome, JobPhase, NewJob, RefusalReason, TerminalState,
};
use cloverfold_lease::{JobRequest, RETRY_AFTER};
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

/// The result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmissionResult {
    /// The group has stored the job, now or before.
    Stored,
    /// The group has stored a different job under this ID.
    Conflict,
    /// The job is not stored, and the submission never takes effect. Contains the name of the cause.
    Refused(&'static str),
    /// The job may be stored, by this submission or an earlier one. Contains the name of the cause.
    Unknown(&'static str),
}

/// What is known of whether a group has stored a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobLookup {
    Stored,
    NotStored,
    /// The group could not be asked.
    Unknown,
}

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
        let result = self.try_submit_kept(id, route, request, job).await;
        let took = self.now().saturating_duration_since(started_at);
        self.answer_submission(id, route, result, took)
    }

    async fn try_submit_kept(
        &self,
        id: &str,
        route: &Route,
        request: &Request,
        job: &JobRequest,
    ) -> SubmissionResult {
        let timeout = self.call_timeout(request, SUBMIT_TIMEOUT);
        let refusal = self.lock().find_kept_refusal(job);
        if let Some(cause) = refusal {
            match self.look_up(id, timeout).await {
                // Submitting it again tells whether it is the same job.
                JobLookup::Stored => {}
                JobLookup::NotStored => return SubmissionResult::Refused(cause.as_str()),
                JobLookup::Unknown => return SubmissionResult::Unknown(cause.as_str()),
            }
        }
        let new_job = build_submission(id, route, request, job);
        let answer = self.lock().submit_kept(new_job, timeout);
        match receive(answer).await {
            CallAnswer::Kept => SubmissionResult::Stored,
            CallAnswer::Conflict => SubmissionResult::Conflict,
            CallAnswer::Refused(cause) => self.confirm_refusal(id, cause, timeout).await,
            _ => SubmissionResult::Unknown("Unanswered"),
        }
    }

    /// Returns the result of a submission that had no effect, which depends on whether an earlier one of the job had.
    async fn confirm_refusal(
        &self,
        id: &str,
        cause: RefusalReason,
        timeout: Duration,
    ) -> SubmissionResult {
        let name = cause.as_str();
        if !is_group_reachable(cause) {
            return SubmissionResult::Unknown(name);
        }
        match self.look_up(id, timeout).await {
            JobLookup::NotStored => SubmissionResult::Refused(name),
            JobLookup::Stored | JobLookup::Unknown => SubmissionResult::Unknown(name),
        }
    }

    /// Asks the group of a job whether it has stored the job.
    async fn look_up(&self, id: &str, timeout: Duration) -> JobLookup {
        let shown = self.lock().show_kept(id, timeout);
        match receive(shown).await {
            CallAnswer::Shown(Some(_)) => JobLookup::Stored,
            CallAnswer::Shown(None) => JobLookup::NotStored,
            _ => JobLookup::Unknown,
        }
    }

    fn answer_submission(
        &self,
        id: &str,
        route: &Route,
        result: SubmissionResult,
        took: Duration,
    ) -> Response {
        let route = route.name.as_str();
        let took_ms = took.as_millis() as u64;
        match result {
            SubmissionResult::Stored => {
                self.metrics.count_answer("kept");
                self.metrics.observe_acceptance_time(took);
                log::debug!(job = id, route, took_ms; "kept job stored");
                json_response(StatusCode::OK, "{}")
            }
            SubmissionResult::Conflict => {
                self.metrics.count_answer("kept_conflict");
                log::info!(job = id, route; "submission refused; a different kept job has this ID");
                conflict_response()
            }
            SubmissionResult::Refused(cause) => {
                self.metrics.count_answer("kept_refused");
                log::info!(job = id, route, cause, took_ms; "kept job refused");
                refusal_response(&format!("not run: {cause}\n"), RETRY_AFTER)
            }
            SubmissionResult::Unknown(cause) => {
                self.metrics.count_answer("kept_unknown");
                log::warn!(job = id, route, cause, took_ms; "the outcome of submitting a kept job is unknown");
                plain_response(StatusCode::GATEWAY_TIMEOUT, format!("not known: {cause}\n"))
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

/// Returns whether the leader of a group, which can tell whether it has a job, was probably reached by a call that was refused.
fn is_group_reachable(cause: RefusalReason) -> bool {
    match cause {
        RefusalReason::Full => true,
        RefusalReason::ByGroup(refusal) => {
            matches!(refusal, CallRefusal::Disk | CallRefusal::Busy)
        }
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
