//! Handlers of the HTTP routes for callers.
//!
//! [`Api`] counts the requests in flight to limit new ones and to wait for them during a drain.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use cloverfold_app::{Lifecycle, Phase};
use cloverfold_base::{random_u64, unix_now};
use cloverfold_claims_core::{ReasonCode, derive_submission_key};
use cloverfold_claims_settings::{CellSettings, EntrySettings};
use cloverfold_coordinate::{JobState, Submit};
use cloverfold_http::BodyError;
use http::StatusCode;
use tokio::time::sleep;
use volo_http::request::Request;

use crate::answer::{Answer, ErrorBody};
use crate::auth::{authenticate, read_header};
use crate::metrics::EntryMetrics;
use crate::routing::JobRouting;
use crate::submission::{
    CheckedSubmission, Refusal, RequestHeaders, SubmissionLimits, check_submission,
};
use crate::submission_memory::{ReadError, SubmissionMemory};

/// Path of submissions; the path of a job appends its key.
pub(crate) const JOBS_PATH: &str = "/v1/jobs";
/// Header with the caller's idempotency key.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// How often a draining entry checks whether its requests are answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// When a caller should retry at an overloaded entry, in milliseconds.
const BUSY_RETRY_MS: u64 = 500;
/// Refusal of a submission beyond the limit of those in flight.
const TOO_MANY_IN_FLIGHT: &str =
    "this entry has as many submissions in flight as it may; come again";
/// Refusal of a submission that finds no memory.
const NO_MEMORY: &str = "the submissions of this entry take all the memory they may; come again";
/// Time for the last answers to reach their callers after their handlers have ended.
const ANSWER_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Shared state of the handlers.
pub(crate) struct Api {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) cell: Arc<CellSettings>,
    pub(crate) routing: JobRouting,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) memory: SubmissionMemory,
    pub(crate) metrics: EntryMetrics,
}

/// Counts a request as in flight until it is dropped.
struct InFlightRequest<'a>(&'a Api);

impl<'a> InFlightRequest<'a> {
    fn begin(api: &'a Api) -> Self {
        let count = api.in_flight.fetch_add(1, Ordering::AcqRel) + 1;
        api.metrics.in_flight.set(count as i64);
        Self(api)
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        let count = self.0.in_flight.fetch_sub(1, Ordering::AcqRel) - 1;
        self.0.metrics.in_flight.set(count as i64);
    }
}

impl Api {
    /// Handles `POST /v1/jobs`.
    pub(crate) async fn submit_job(self: Arc<Self>, req: Request) -> Answer {
        let _in_flight = InFlightRequest::begin(&self);
        let started_at = Instant::now();
        let mut answer = match self.run_submission(req).await {
            Ok(answer) => answer,
            Err(refusal) => Answer::from_refusal(refusal),
        };
        answer.closes_connection = self.lifecycle.phase() != Phase::Serving;
        self.metrics
            .record_answer(answer.body.outcome, started_at.elapsed());
        answer
    }

    /// Validates a submission and sends it to a coordinator.
    async fn run_submission(&self, req: Request) -> Result<Answer, Refusal> {
        let (parts, body) = req.into_parts();
        let workspace = authenticate(&self.cell, &parts.headers)?;
        let headers = RequestHeaders {
            idempotency_key: read_header(&parts.headers, IDEMPOTENCY_HEADER).map(str::to_owned),
        };
        if parts.headers.contains_key(IDEMPOTENCY_HEADER) && headers.idempotency_key.is_none() {
            let message = "must be ASCII text";
            return Err(Refusal::of_field("bad_key", "Idempotency-Key", message));
        }
        let (max_body, read_timeout) = (self.settings.max_body, self.settings.read_timeout);
        let received = match self.memory.receive(body, max_body, read_timeout).await {
            Ok(received) => received,
            Err(cause) => return self.refuse_unread(cause, headers.idempotency_key),
        };
        let limits = SubmissionLimits {
            default_deadline: self.settings.default_deadline,
            max_deadline: self.settings.max_deadline,
        };
        let generated = self.routing.generate_key(&workspace.name).await;
        let now = unix_now();
        let checked = check_submission(
            &workspace.name,
            &headers,
            &received.body,
            generated,
            limits,
            now,
        )?;
        if self.cell.find_service(&checked.service).is_none() {
            let message = format!("no service is named {:?}", checked.service);
            return Err(Refusal::of_field("unknown_service", "service", message));
        }
        if self.in_flight.load(Ordering::Acquire) > self.settings.in_flight {
            let has_own_key = !checked.is_generated_key;
            let key = Some(checked.caller_key);
            return Ok(answer_busy(key, has_own_key, TOO_MANY_IN_FLIGHT));
        }
        let key = checked.caller_key.clone();
        let outcome = self
            .routing
            .submit(build_submit(&workspace.name, checked))
            .await;
        Ok(Answer::from_outcome(outcome, key))
    }

    /// Refuses a submission whose body was not read.
    fn refuse_unread(
        &self,
        cause: ReadError,
        callers_key: Option<String>,
    ) -> Result<Answer, Refusal> {
        let (status, code, message) = match cause {
            ReadError::Body(BodyError::NoMemory) => {
                self.metrics.memory_refusals.inc();
                let has_own_key = callers_key.is_some();
                return Ok(answer_busy(callers_key, has_own_key, NO_MEMORY));
            }
            ReadError::TooSlow => (
                StatusCode::REQUEST_TIMEOUT,
                "body_too_slow",
                "the body did not arrive in time; send it without pauses".into(),
            ),
            ReadError::Body(BodyError::TooLong) => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                format!(
                    "the body is longer than {} bytes; split the job",
                    self.settings.max_body
                ),
            ),
            ReadError::Body(BodyError::Broken(cause)) => (
                StatusCode::BAD_REQUEST,
                "bad_body",
                format!("the body broke off: {cause}"),
            ),
        };
        Err(Refusal {
            status,
            code,
            field: None,
            message,
        })
    }

    /// Handles `GET /v1/jobs/{key}`.
    pub(crate) async fn show_job(self: Arc<Self>, req: Request) -> Answer {
        match self.find_job(&req).await {
            Ok(answer) => answer,
            Err(refusal) => Answer::from_refusal(refusal),
        }
    }

    async fn find_job(&self, req: &Request) -> Result<Answer, Refusal> {
        let workspace = authenticate(&self.cell, req.headers())?;
        let path = req.uri().path();
        // The route always has a last segment, so the default is never used.
        let caller_key = path.rsplit('/').next().unwrap_or_default().to_owned();
        let key = derive_submission_key(&workspace.name, &caller_key);
        let state = self.routing.query(key).await;
        Ok(describe_state(state, caller_key))
    }

    /// Keeps serving until the load balancer has noticed the drain, then waits for the requests in flight.
    pub(crate) async fn drain(self: Arc<Self>) {
        self.lifecycle.wait_for(Phase::Draining).await;
        sleep(self.settings.linger).await;
        while self.in_flight.load(Ordering::Acquire) > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        sleep(ANSWER_FLUSH_DELAY).await;
    }
}

fn build_submit(workspace: &str, checked: CheckedSubmission) -> Submit {
    Submit {
        submission: checked.submission,
        attempt: random_u64(),
        is_sole_attempt: checked.is_generated_key,
        workspace: workspace.to_owned(),
        service: checked.service,
        digest: checked.digest,
        deadline: checked.deadline,
        repeat: checked.repeat,
        tasks: checked.tasks,
    }
}

/// Refuses a submission at an overloaded entry. Under a caller's own key the outcome is `unknown`, since the job may run by another way.
fn answer_busy(key: Option<String>, has_own_key: bool, message: &str) -> Answer {
    let error = ErrorBody {
        code: "entry_busy",
        message: message.into(),
        field: None,
        retry_after_ms: Some(BUSY_RETRY_MS),
    };
    let outcome = if has_own_key { "unknown" } else { "not_run" };
    Answer::new(StatusCode::SERVICE_UNAVAILABLE, outcome, key, Some(error))
}

/// Returns the answer that shows the state of a job.
fn describe_state(state: JobState, key: String) -> Answer {
    let show = |outcome| Answer::new(StatusCode::OK, outcome, Some(key.clone()), None);
    match state {
        JobState::Answered(outcome) => {
            let mut answer = Answer::from_outcome(outcome, key);
            answer.status = StatusCode::OK;
            answer
        }
        JobState::Running => show("running"),
        JobState::Claimed { .. } => show("claimed"),
        JobState::NotSeen => show("not_seen"),
        JobState::Refused(reason) => {
            explain_state("not_run", reason, "refused under this key", key)
        }
        JobState::CannotTell => explain_state(
            "unknown",
            ReasonCode::NoQuorum,
            "too few replicas of the key can tell",
            key,
        ),
    }
}

fn explain_state(outcome: &'static str, reason: ReasonCode, message: &str, key: String) -> Answer {
    let error = ErrorBody {
        code: reason.as_str(),
        message: message.into(),
        field: None,
        retry_after_ms: None,
    };
    Answer::new(StatusCode::OK, outcome, Some(key), Some(error))
}
