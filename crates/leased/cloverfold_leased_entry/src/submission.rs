//! Submission of a job: parses it, waits for its answer, and cancels it if the caller disconnects first.

use std::time::Duration;

use cloverfold_configuration::Route;
use cloverfold_http::{HeldMemory, NoMemory, Request, Response, plain_response};
use cloverfold_lease::{JobAnswer, JobNumber, JobRefusal, JobRequest, RETRY_AFTER};
use http::StatusCode;

use crate::job_counts::JobOutcome;
use crate::kept_requests::conflict_response;
use crate::protocol::{MalformedJob, ParsedJob};
use crate::request_handler::RequestHandler;
use crate::responses::{answer_response, refusal_response};

/// Memory up to which an open job is covered by that of its connection, in bytes.
const SMALL_JOB_BYTES: usize = 4 * 1024;

/// A job that can run.
enum RunnableJob {
    Repeatable(JobRequest),
    Kept(JobRequest),
}

impl RunnableJob {
    fn request(&self) -> &JobRequest {
        match self {
            Self::Repeatable(request) | Self::Kept(request) => request,
        }
    }
}

/// Why a job cannot run.
enum UnrunnableJob {
    /// The job needs an unimplemented feature.
    Unsupported(&'static str),
    Malformed(MalformedJob),
    NoMemory,
}

impl From<NoMemory> for UnrunnableJob {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// Cancels a job when its request is dropped before the answer, which means that the caller has disconnected.
struct CancelOnDrop<'a> {
    handler: &'a RequestHandler,
    job: &'a str,
    /// `None` once the job is answered.
    number: Option<JobNumber>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            log::info!(job = self.job, number; "caller disconnected; cancelling its job");
            self.handler.metrics.count_answer("caller_left");
            self.handler.lock().cancel(number);
        }
    }
}

impl RequestHandler {
    /// Submits the job in the body of a request and waits for its answer.
    pub(crate) async fn submit(&self, id: &str, route: &Route, request: &Request) -> Response {
        let (job, _held) = match self.receive_job(id, route, request).await {
            Ok((RunnableJob::Repeatable(job), held)) => (job, held),
            Ok((RunnableJob::Kept(job), _held)) => {
                return self.submit_kept(id, route, request, &job).await;
            }
            Err(cause) => return self.reject_job(id, route, &cause),
        };
        if self.lock().is_driving(id) {
            return conflict_response();
        }
        let objective = job.latency_objective();
        let submitted_at = self.now();
        let answer = self.run_job(id, job).await;
        let took = self.now().saturating_duration_since(submitted_at);
        self.record_answer(id, route, answer, took);
        let outcome = JobOutcome::new(answer, took, objective);
        self.metrics.count_job(&route.name, outcome);
        answer_response(self.protocol.as_ref(), answer)
    }

    /// Parses a job and holds the memory that it takes while it is open.
    async fn receive_job(
        &self,
        id: &str,
        route: &Route,
        request: &Request,
    ) -> Result<(RunnableJob, Option<HeldMemory>), UnrunnableJob> {
        let job = self.parse_job(id, route, request)?;
        let bytes = job.request().open_bytes();
        if bytes <= SMALL_JOB_BYTES {
            return Ok((job, None));
        }
        if let Ok(held) = request.try_hold_memory(bytes) {
            return Ok((job, held));
        }
        // A job that waits for memory takes none.
        drop(job);
        let held = request.hold_memory(bytes).await?;
        let job = self.parse_job(id, route, request)?;
        Ok((job, held))
    }

    /// Parses a job and the timeout of its caller.
    fn parse_job(
        &self,
        id: &str,
        route: &Route,
        request: &Request,
    ) -> Result<RunnableJob, UnrunnableJob> {
        match self.protocol.parse_job(id, route, &request.body) {
            Ok(ParsedJob::Repeatable(job)) => {
                let caller_timeout = self.protocol.read_caller_timeout(&request.headers);
                Ok(RunnableJob::Repeatable(JobRequest {
                    caller_timeout,
                    ..job
                }))
            }
            Ok(ParsedJob::Kept(job)) => Ok(RunnableJob::Kept(job)),
            Ok(ParsedJob::Unsupported(what)) => Err(UnrunnableJob::Unsupported(what)),
            Err(error) => Err(UnrunnableJob::Malformed(error)),
        }
    }

    /// Logs why a job cannot run and returns the response.
    fn reject_job(&self, id: &str, route: &Route, cause: &UnrunnableJob) -> Response {
        let route = route.name.as_str();
        match cause {
            UnrunnableJob::Unsupported(what) => {
                log::warn!(job = id, route, what; "the job needs an unsupported feature");
                refusal_response(&format!("not carried: {what}\n"), RETRY_AFTER)
            }
            UnrunnableJob::Malformed(error) => {
                log::warn!(job = id, route; "cannot parse job: {error}");
                plain_response(StatusCode::BAD_REQUEST, format!("{error}\n"))
            }
            UnrunnableJob::NoMemory => {
                let answer = JobAnswer::refused(JobRefusal::NoMemory);
                self.metrics.count_answer(outcome_name(answer));
                log::info!(job = id, route, cause = JobRefusal::NoMemory.as_str(); "job refused");
                answer_response(self.protocol.as_ref(), answer)
            }
        }
    }

    /// Submits a job and waits for its answer; cancels the job if this future is dropped first.
    async fn run_job(&self, id: &str, job: JobRequest) -> JobAnswer {
        let (number, answer) = self.lock().submit(job);
        let mut cancel = CancelOnDrop {
            handler: self,
            job: id,
            number,
        };
        // The state drops the sender without an answer only when the process exits.
        let answer = answer.await.unwrap_or(JobAnswer::GivenUp);
        cancel.number = None;
        answer
    }

    /// Counts an answer, and logs it unless the dispatcher has done so.
    fn record_answer(&self, id: &str, route: &Route, answer: JobAnswer, took: Duration) {
        let took_ms = took.as_millis() as u64;
        let route = route.name.as_str();
        let outcome = outcome_name(answer);
        self.metrics.count_answer(outcome);
        self.metrics.observe_answer_time(took);
        match answer {
            JobAnswer::Completed => log::debug!(job = id, route, took_ms; "job completed"),
            // Logged already: by the dispatcher with its reasons, or by the state after a stall.
            JobAnswer::Refused { .. } => {}
            JobAnswer::Failed | JobAnswer::GivenUp => {
                log::info!(job = id, route, took_ms, outcome; "job ended without success");
            }
        }
    }
}

/// Returns the name of an answer in metrics and log lines.
fn outcome_name(answer: JobAnswer) -> &'static str {
    match answer {
        JobAnswer::Completed => "completed",
        JobAnswer::Failed => "failed",
        JobAnswer::Refused { .. } => "refused",
        JobAnswer::GivenUp => "given_up",
    }
}
