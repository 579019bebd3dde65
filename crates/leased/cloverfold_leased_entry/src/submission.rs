//! The submission of a job: reads it, waits for its one answer, and cancels it if the caller disconnects first.
//!
//! Owns nothing beyond the request. Relies on the entry's state to accept the job and to answer it through a channel.

use std::time::Duration;

use cloverfold_configuration::Route;
use cloverfold_http::{Request, Response, plain_response};
use cloverfold_lease::{JobAnswer, JobNumber, JobRequest, RETRY_AFTER};
use http::StatusCode;

use crate::callers::Callers;
use crate::job_counts::JobOutcome;
use crate::kept_callers::conflict_response;
use crate::protocol::{MalformedJob, ParsedJob};
use crate::responses::{answer_response, refusal_response};

/// A job that is run.
enum ReadJob {
    Repeatable(JobRequest),
    Kept(JobRequest),
}

/// Why a job is not run.
enum UnrunnableJob {
    /// It needs what is not implemented.
    Unsupported(&'static str),
    Malformed(MalformedJob),
}

/// Cancels a job if its request is dropped before the answer, because the caller has disconnected.
struct CancelOnDrop<'a> {
    callers: &'a Callers,
    job: &'a str,
    /// `None` once the job is answered.
    number: Option<JobNumber>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            log::info!(job = self.job, number; "caller disconnected, its job is cancelled");
            self.callers.metrics.count_answer("caller_left");
            self.callers.lock().cancel(number);
        }
    }
}

impl Callers {
    /// Submits the job in a request's body and waits for its answer.
    pub(crate) async fn submit(&self, id: &str, route: &Route, request: &Request) -> Response {
        let job = match self.parse_job(id, route, request) {
            Ok(ReadJob::Repeatable(job)) => job,
            Ok(ReadJob::Kept(job)) => return self.submit_kept(id, route, request, &job).await,
            Err(cause) => return reject_job(id, route, &cause),
        };
        if self.lock().drives(id) {
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

    /// Reads a job and how long its caller waits.
    fn parse_job(
        &self,
        id: &str,
        route: &Route,
        request: &Request,
    ) -> Result<ReadJob, UnrunnableJob> {
        match self.protocol.parse_job(id, route, &request.body) {
            Ok(ParsedJob::Repeatable(job)) => {
                let caller_timeout = self.protocol.read_caller_timeout(&request.headers);
                Ok(ReadJob::Repeatable(JobRequest {
                    caller_timeout,
                    ..job
                }))
            }
            Ok(ParsedJob::Kept(job)) => Ok(ReadJob::Kept(job)),
            Ok(ParsedJob::Unsupported(what)) => Err(UnrunnableJob::Unsupported(what)),
            Err(fault) => Err(UnrunnableJob::Malformed(fault)),
        }
    }

    /// Submits a job and waits for its answer; cancels it if this future is dropped first.
    async fn run_job(&self, id: &str, job: JobRequest) -> JobAnswer {
        let (number, answer) = self.lock().submit(job);
        let mut cancel = CancelOnDrop {
            callers: self,
            job: id,
            number,
        };
        // The state drops the sender without an answer only when the process ends.
        let answer = answer.await.unwrap_or(JobAnswer::GivenUp);
        cancel.number = None;
        answer
    }

    /// Counts an answer and logs it unless the dispatcher has done so.
    fn record_answer(&self, id: &str, route: &Route, answer: JobAnswer, took: Duration) {
        let took_ms = took.as_millis() as u64;
        let route = route.name.as_str();
        let outcome = name_outcome(answer);
        self.metrics.count_answer(outcome);
        self.metrics.observe_answer_time(took);
        match answer {
            JobAnswer::Completed => log::debug!(job = id, route, took_ms; "completed"),
            // The dispatcher has logged the refusal with its reasons, but for one after a stall, which the state has logged.
            JobAnswer::Refused { .. } => {}
            JobAnswer::Failed | JobAnswer::GivenUp => {
                log::info!(job = id, route, took_ms, outcome; "a job is answered");
            }
        }
    }
}

/// Logs why a job is not run and returns the response to it.
fn reject_job(id: &str, route: &Route, cause: &UnrunnableJob) -> Response {
    let route = route.name.as_str();
    match cause {
        UnrunnableJob::Unsupported(what) => {
            log::warn!(job = id, route, what; "a job of this form is not supported");
            refusal_response(&format!("not carried: {what}\n"), RETRY_AFTER)
        }
        UnrunnableJob::Malformed(fault) => {
            log::warn!(job = id, route; "a job cannot be read: {fault}");
            plain_response(StatusCode::BAD_REQUEST, format!("{fault}\n"))
        }
    }
}

/// Returns an answer's name in metrics and log lines.
fn name_outcome(answer: JobAnswer) -> &'static str {
    match answer {
        JobAnswer::Completed => "completed",
        JobAnswer::Failed => "failed",
        JobAnswer::Refused { .. } => "refused",
        JobAnswer::GivenUp => "given_up",
    }
}
