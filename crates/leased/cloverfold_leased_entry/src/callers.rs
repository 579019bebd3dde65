//! Callers' requests.

use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use cloverfold_configuration::Route;
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_lease::{JobAnswer, JobNumber, JobRequest, RETRY_AFTER};
use cloverfold_leased_process::Shared;
use http::{HeaderValue, StatusCode};

use crate::metrics::EntryMetrics;
use crate::protocol::{JobForm, JobProtocol, JobState, QueueCall};
use crate::state::EntryState;

/// Answers callers.
pub(crate) struct Callers {
    state: Shared<EntryState>,
    pub(crate) protocol: Arc<dyn JobProtocol>,
    pub(crate) metrics: Arc<EntryMetrics>,
}

/// Stops a job if its caller leaves before the answer.
struct CancelOnDrop<'a> {
    callers: &'a Callers,
    job: &'a str,
    number: Option<JobNumber>,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            log::info!(job = self.job, number; "the caller left; its job is stopped");
            self.callers.metrics.count_answer("caller_left");
            self.callers.lock().cancel(number);
        }
    }
}

impl Callers {
    pub(crate) fn new(state: Shared<EntryState>, protocol: Arc<dyn JobProtocol>) -> Self {
        Self {
            state,
            protocol,
            metrics: Arc::new(EntryMetrics::new()),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, EntryState> {
        self.state.lock()
    }

    /// Answers one request.
    pub(crate) async fn answer(&self, request: Request) -> Response {
        let Some(configuration) = self.lock().configuration() else {
            let path = request.uri.path();
            log::info!(path, cause = "NoConfiguration"; "a request is refused");
            return refuse("no configuration is in force here\n", RETRY_AFTER);
        };
        let path = request.uri.path();
        let Some(route) = configuration.find_route(request.host(), path) else {
            log::info!(host = request.host(), path, version = configuration.version; "no queue takes a request");
            return plain_response(StatusCode::NOT_FOUND, "no such queue\n");
        };
        let rest = &path[route.path_prefix.len()..];
        match self.protocol.classify(&request.method, rest) {
            Some(QueueCall::Submit(id)) => self.submit(&id, route, &request).await,
            Some(QueueCall::Show(id)) => self.show(&id),
            Some(QueueCall::Cancel(id)) => self.cancel(&id),
            Some(QueueCall::Count) => self.count(route),
            None => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    async fn submit(&self, id: &str, route: &Route, request: &Request) -> Response {
        let job = match self.protocol.read_job(id, route, &request.body) {
            Ok(JobForm::Repeatable(job)) => job,
            Ok(JobForm::Unsupported(what)) => {
                log::warn!(job = id, route = route.name.as_str(), what; "a job of this form is not carried");
                return refuse(&format!("not carried: {what}\n"), RETRY_AFTER);
            }
            Err(fault) => {
                log::warn!(job = id, route = route.name.as_str(); "a job cannot be read: {fault}");
                return plain_response(StatusCode::BAD_REQUEST, format!("{fault}\n"));
            }
        };
        let patience = self.protocol.read_patience(&request.headers);
        let job = JobRequest { patience, ..job };
        let began = Instant::now();
        let (number, answer) = self.lock().submit(job);
        let mut guard = CancelOnDrop {
            callers: self,
            job: id,
            number,
        };
        // The sender is dropped only with the process.
        let answer = answer.await.unwrap_or(JobAnswer::GivenUp);
        guard.number = None;
        self.note_answer(id, route, answer, began.elapsed());
        self.write_answer(answer)
    }

    fn note_answer(&self, id: &str, route: &Route, answer: JobAnswer, took: Duration) {
        let took_ms = took.as_millis() as u64;
        let route = route.name.as_str();
        let outcome = match answer {
            JobAnswer::Completed => "completed",
            JobAnswer::Failed => "failed",
            JobAnswer::Refused { .. } => "refused",
            JobAnswer::GivenUp => "given_up",
        };
        self.metrics.count_answer(outcome);
        self.metrics.observe(took);
        match answer {
            JobAnswer::Completed => log::debug!(job = id, route, took_ms; "completed"),
            // The dispatcher has logged the refusal with what decided it, but for one after a stall, which the state has.
            JobAnswer::Refused { .. } => {}
            JobAnswer::Failed | JobAnswer::GivenUp => {
                log::info!(job = id, route, took_ms, outcome; "a job is answered");
            }
        }
    }

    fn write_answer(&self, answer: JobAnswer) -> Response {
        let state = |state| json_response(StatusCode::OK, self.protocol.write_state(state));
        match answer {
            JobAnswer::Completed => state(JobState::Completed),
            JobAnswer::Failed => state(JobState::Failed),
            JobAnswer::Refused { cause, retry_after } => {
                refuse(&format!("not run: {}\n", cause.as_str()), retry_after)
            }
            JobAnswer::GivenUp => plain_response(StatusCode::GATEWAY_TIMEOUT, "given up\n"),
        }
    }

    fn show(&self, id: &str) -> Response {
        if self.lock().dispatcher.is_open(id) {
            json_response(StatusCode::OK, self.protocol.write_state(JobState::Running))
        } else {
            plain_response(StatusCode::GONE, "no such job\n")
        }
    }

    fn cancel(&self, id: &str) -> Response {
        if self.lock().cancel_named(id) {
            json_response(StatusCode::OK, "{}")
        } else {
            plain_response(StatusCode::GONE, "no such job\n")
        }
    }

    fn count(&self, route: &Route) -> Response {
        let is_meant = |job: &JobRequest| job.queue == route.name;
        let waiting = self.lock().dispatcher.count_queued(is_meant);
        json_response(StatusCode::OK, self.protocol.write_count(waiting))
    }
}

fn refuse(text: &str, retry_after: Duration) -> Response {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = HeaderValue::from(retry_after.as_secs().max(1));
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, seconds);
    response
}
