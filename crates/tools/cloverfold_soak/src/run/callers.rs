//! Simulated callers: they choose a ready entry, wait for the answer or disconnect, and retry jobs without an answer.

use std::time::Duration;

use bytes::Bytes;
use cloverfold_stand_ins::{
    CALLER_HOST, DEADLINE_HEADER, JobShape, MAX_ATTEMPTS, QUEUE_PREFIX, is_job_state, write_job,
};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use super::exchange::exchange;
use super::installation::Installation;
use super::layout::Side;
use crate::plan::{CallerBehavior, PlannedJob};
use crate::records::{Attempt, Outcome, Process};

/// How long a caller waits for an answer; also sent as the deadline of the job.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Delay before a caller retries a job without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);
/// Delay before an insistent caller retries a refused job.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum submissions of one job.
const MAX_SUBMISSIONS: usize = 4;

/// A caller that starts later than this is skipped.
const MAX_LATENESS: Duration = Duration::from_millis(1_000);

/// Returns whether a caller that is late by this much still starts. Callers are late only after a stall of the soak itself; starting all of
/// them at once would be a burst that is not part of the plan.
pub(crate) fn is_on_time(lateness: Duration) -> bool {
    lateness <= MAX_LATENESS
}

/// Runs one caller.
pub(crate) async fn run_caller(installation: &Installation, job: &str, planned: &PlannedJob) {
    for attempt in 0..MAX_SUBMISSIONS {
        let entry = installation.choose_entry(planned.entry + attempt);
        let outcome = attempt_once(installation, job, planned, entry).await;
        let delay = match (outcome, planned.behavior) {
            (Outcome::ConnectionLost | Outcome::TimedOut | Outcome::GivenUp, _) => RETRY_DELAY,
            (Outcome::Refused, CallerBehavior::Insistent) => REFUSAL_RETRY_DELAY,
            _ => return,
        };
        sleep(delay).await;
    }
}

async fn attempt_once(
    installation: &Installation,
    job: &str,
    planned: &PlannedJob,
    entry: usize,
) -> Outcome {
    let recorder = &installation.recorder;
    let Some(request) = write_request(job, planned) else {
        return Outcome::Disconnected;
    };
    let number = recorder.begin_attempt(Attempt {
        job: job.to_owned(),
        tasks: planned.tasks,
        max_failures: MAX_ATTEMPTS,
        entry,
        sent_at: recorder.now(),
        outcome: None,
    });
    let address = installation
        .layout
        .interface(Process::Entry(entry), Side::Outer);
    let (limit, at_limit) = match planned.behavior {
        CallerBehavior::Disconnects { after } => {
            (Duration::from_millis(after), Outcome::Disconnected)
        }
        CallerBehavior::Patient | CallerBehavior::Insistent => (ANSWER_TIMEOUT, Outcome::TimedOut),
    };
    let outcome = match timeout(limit, exchange(address, request)).await {
        Ok(Some((status, body))) => read_answer(status, &body),
        Ok(None) => Outcome::ConnectionLost,
        Err(_elapsed) => at_limit,
    };
    recorder.end_attempt(number, outcome);
    outcome
}

fn write_request(job: &str, planned: &PlannedJob) -> Option<Request<Full<Bytes>>> {
    let shape = JobShape {
        tasks: planned.tasks,
        work_ms: planned.task_duration,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("{QUEUE_PREFIX}{job}"))
        .header("Host", CALLER_HOST)
        .header("Content-Type", "application/json")
        .header(DEADLINE_HEADER, ANSWER_TIMEOUT.as_millis().to_string())
        .body(Full::new(Bytes::from(write_job(shape))));
    request.ok()
}

fn read_answer(status: StatusCode, body: &str) -> Outcome {
    match status {
        StatusCode::OK if is_job_state(body, "completed") => Outcome::Completed,
        StatusCode::OK if is_job_state(body, "failed") => Outcome::Failed,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Refused,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Outcome::GivenUp,
        _ => Outcome::ProtocolViolation,
    }
}
