//! Callers: they choose an entry that is ready, wait, leave, and send again what got no answer.

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

/// How long a caller waits, which it also tells.
const PATIENCE: Duration = Duration::from_millis(4_000);
/// After this a caller sends again what got no answer.
const RESEND: Duration = Duration::from_millis(1_300);
/// After this an insistent caller sends again what was refused.
const AFTER_REFUSAL: Duration = Duration::from_millis(300);
/// Most sends of one job.
const MAX_SENDS: usize = 4;

/// A caller that begins later than this is left out.
const LATEST_BEGIN: Duration = Duration::from_millis(1_000);

/// Returns whether a caller that is late by so much still begins. It is late only if the soak itself stood still; all callers of that time
/// at once would be a burst that no plan has.
pub(crate) fn is_in_time(lateness: Duration) -> bool {
    lateness <= LATEST_BEGIN
}

/// Plays one caller.
pub(crate) async fn call(installation: &Installation, job: &str, planned: &PlannedJob) {
    for send in 0..MAX_SENDS {
        let entry = installation.choose_entry(planned.entry + send);
        let outcome = send_once(installation, job, planned, entry).await;
        let pause = match (outcome, planned.manner) {
            (Outcome::Broken | Outcome::TimedOut | Outcome::GivenUp, _) => RESEND,
            (Outcome::Refused, CallerBehavior::Insistent) => AFTER_REFUSAL,
            _ => return,
        };
        sleep(pause).await;
    }
}

async fn send_once(
    installation: &Installation,
    job: &str,
    planned: &PlannedJob,
    entry: usize,
) -> Outcome {
    let recorder = &installation.recorder;
    let Some(request) = write_request(job, planned) else {
        return Outcome::Left;
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
    let (limit, at_limit) = match planned.manner {
        CallerBehavior::Leaves { after } => (Duration::from_millis(after), Outcome::Left),
        CallerBehavior::Patient | CallerBehavior::Insistent => (PATIENCE, Outcome::TimedOut),
    };
    let outcome = match timeout(limit, exchange(address, request)).await {
        Ok(Some((status, body))) => read_answer(status, &body),
        Ok(None) => Outcome::Broken,
        Err(_elapsed) => at_limit,
    };
    recorder.end_attempt(number, outcome);
    outcome
}

fn write_request(job: &str, planned: &PlannedJob) -> Option<Request<Full<Bytes>>> {
    let shape = JobShape {
        tasks: planned.tasks,
        work_ms: planned.work,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("{QUEUE_PREFIX}{job}"))
        .header("Host", CALLER_HOST)
        .header("Content-Type", "application/json")
        .header(DEADLINE_HEADER, PATIENCE.as_millis().to_string())
        .body(Full::new(Bytes::from(write_job(shape))));
    request.ok()
}

fn read_answer(status: StatusCode, body: &str) -> Outcome {
    match status {
        StatusCode::OK if is_job_state(body, "completed") => Outcome::Completed,
        StatusCode::OK if is_job_state(body, "failed") => Outcome::Failed,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Outcome::Refused,
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Outcome::GivenUp,
        _ => Outcome::Garbled,
    }
}
