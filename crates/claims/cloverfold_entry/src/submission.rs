//! Validation of a caller's submission.

use std::time::Duration;

use cloverfold_base::{UnixTime, hash_parts};
use cloverfold_claims_core::{
    BodyDigest, CLOCK_MARGIN, RetryPolicy, Submission, derive_submission_key,
};
use http::StatusCode;
use serde::Deserialize;
use serde_json::value::RawValue;

/// Most tasks of one job.
pub const MAX_TASKS: usize = 1_900;
/// Longest idempotency key, in bytes.
const MAX_KEY_LEN: usize = 128;

/// Limits from the entry's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubmissionLimits {
    /// Deadline of a submission without one, counted from its arrival.
    pub default_deadline: Duration,
    /// Longest deadline, counted from the arrival.
    pub max_deadline: Duration,
}

/// Headers of a submission that are validated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Value of `Idempotency-Key`.
    pub idempotency_key: Option<String>,
}

/// Refusal of a request that had no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Stable error code.
    pub code: &'static str,
    /// The invalid field or header, if there is one.
    pub field: Option<String>,
    /// What is wrong and how to fix it.
    pub message: String,
}

impl Refusal {
    /// Builds the refusal of a field, with status 400.
    pub(crate) fn of_field(code: &'static str, field: &str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code,
            field: Some(field.into()),
            message: message.into(),
        }
    }
}

/// A valid submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedSubmission {
    /// Idempotency key in the answer to the caller.
    pub caller_key: String,
    /// Whether the entry generated the key.
    pub is_generated_key: bool,
    /// Hashed key and time of the submission.
    pub submission: Submission,
    /// Service that runs the tasks.
    pub service: String,
    /// Hash of the body.
    pub digest: BodyDigest,
    /// No task starts at or after this time.
    pub deadline: UnixTime,
    /// Whether a task may be started again after its guard or target was lost.
    pub repeat: RetryPolicy,
    /// Request body of each task for the target.
    pub tasks: Vec<Vec<u8>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobBody<'a> {
    service: String,
    #[serde(borrow)]
    tasks: Vec<&'a RawValue>,
    #[serde(default)]
    repeat: RetryPolicy,
    deadline_ms: Option<u64>,
    deadline_unix_ms: Option<u64>,
    first_submitted_unix_ms: Option<u64>,
}

/// Validates the headers and the body of a submission.
///
/// `generated_key` is the key of a submission without one.
///
/// # Errors
///
/// Returns a refusal with the invalid field and how to fix it.
pub fn check_submission(
    workspace: &str,
    headers: &RequestHeaders,
    body: &[u8],
    generated_key: String,
    limits: SubmissionLimits,
    now: UnixTime,
) -> Result<CheckedSubmission, Refusal> {
    let body = parse_body(body)?;
    check_tasks(&body)?;
    let is_generated_key = headers.idempotency_key.is_none();
    let caller_key = match &headers.idempotency_key {
        None => generated_key,
        Some(key) => check_key(key)?,
    };
    let submitted_at = resolve_submitted_at(&body, is_generated_key, now)?;
    let deadline = resolve_deadline(&body, limits, now)?;
    let tasks: Vec<Vec<u8>> = body
        .tasks
        .iter()
        .map(|task| task.get().as_bytes().to_vec())
        .collect();
    Ok(CheckedSubmission {
        submission: Submission {
            key: derive_submission_key(workspace, &caller_key),
            submitted_at,
        },
        caller_key,
        is_generated_key,
        digest: digest_body(&body.service, body.repeat, &tasks),
        service: body.service,
        deadline,
        repeat: body.repeat,
        tasks,
    })
}

fn parse_body(body: &[u8]) -> Result<JobBody<'_>, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let parsed: JobBody<'_> =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|e| Refusal {
            status: StatusCode::BAD_REQUEST,
            code: "bad_body",
            field: field_path(e.path()),
            message: format!("the body is not a job: {}", e.inner()),
        })?;
    deserializer.end().map_err(|e| Refusal {
        status: StatusCode::BAD_REQUEST,
        code: "bad_body",
        field: None,
        message: format!("the body goes on after the job: {e}"),
    })?;
    Ok(parsed)
}

/// Returns the path of the invalid field, or `None` if the error concerns the whole body.
fn field_path(path: &serde_path_to_error::Path) -> Option<String> {
    const NO_FIELD: [&str; 2] = [".", "?"];
    let name = path.to_string();
    (!NO_FIELD.contains(&name.as_str())).then_some(name)
}

fn check_tasks(body: &JobBody<'_>) -> Result<(), Refusal> {
    let count = body.tasks.len();
    if count == 0 {
        let message = "must hold at least one task";
        return Err(Refusal::of_field("no_tasks", "tasks", message));
    }
    if count > MAX_TASKS {
        let message =
            format!("holds {count} tasks; split the job into jobs of at most {MAX_TASKS}");
        return Err(Refusal::of_field("too_many_tasks", "tasks", message));
    }
    Ok(())
}

fn check_key(key: &str) -> Result<String, Refusal> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-._~".contains(c);
    if key.is_empty() || key.len() > MAX_KEY_LEN || !key.chars().all(is_allowed) {
        let message = format!("must be 1 to {MAX_KEY_LEN} letters, digits or any of -._~");
        return Err(Refusal::of_field("bad_key", "Idempotency-Key", message));
    }
    Ok(key.to_owned())
}

/// Returns the time of the first submission, from which the key's retention counts; required with a caller's key.
fn resolve_submitted_at(
    body: &JobBody<'_>,
    is_generated_key: bool,
    now: UnixTime,
) -> Result<UnixTime, Refusal> {
    const FIELD: &str = "first_submitted_unix_ms";
    const CODE: &str = "bad_first_submitted";
    let Some(given) = body.first_submitted_unix_ms else {
        if is_generated_key {
            return Ok(now);
        }
        let message = "is required with an Idempotency-Key: the time of the first submission under \
                       the key, the same at every repetition";
        return Err(Refusal::of_field(CODE, FIELD, message));
    };
    let given = Duration::from_millis(given);
    if given > now + CLOCK_MARGIN {
        let message = "lies in the future; set the clock or send the present time";
        return Err(Refusal::of_field(CODE, FIELD, message));
    }
    Ok(given)
}

/// Returns the deadline from the body, or the default one.
fn resolve_deadline(
    body: &JobBody<'_>,
    limits: SubmissionLimits,
    now: UnixTime,
) -> Result<UnixTime, Refusal> {
    const CODE: &str = "bad_deadline";
    let latest = now + limits.max_deadline;
    let (deadline, field) = match (body.deadline_ms, body.deadline_unix_ms) {
        (Some(_), Some(_)) => {
            let message = "must not be given beside deadline_ms";
            return Err(Refusal::of_field(CODE, "deadline_unix_ms", message));
        }
        (Some(0), None) => {
            let message = "must be above 0";
            return Err(Refusal::of_field(CODE, "deadline_ms", message));
        }
        (Some(millis), None) => (
            now.saturating_add(Duration::from_millis(millis)),
            "deadline_ms",
        ),
        (None, Some(at)) => (Duration::from_millis(at), "deadline_unix_ms"),
        (None, None) => (now + limits.default_deadline, "deadline_ms"),
    };
    if deadline > latest {
        let longest = limits.max_deadline.as_millis();
        let message = format!("is too far off; at most {longest} ms from now are allowed");
        return Err(Refusal::of_field(CODE, field, message));
    }
    Ok(deadline)
}

/// Hashes the parts that must be equal in all submissions under one key; the deadline may differ.
fn digest_body(service: &str, repeat: RetryPolicy, tasks: &[Vec<u8>]) -> BodyDigest {
    let repeat: &[u8] = match repeat {
        RetryPolicy::Never => b"never",
        RetryPolicy::Allowed => b"allowed",
    };
    let mut parts = vec![service.as_bytes(), repeat];
    parts.extend(tasks.iter().map(Vec::as_slice));
    hash_parts(&parts)
}
