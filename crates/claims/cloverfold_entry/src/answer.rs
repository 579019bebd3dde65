//! The answers to callers: status, headers and JSON body.

use std::time::Duration;

use cloverfold_claims_core::{Outcome, ReasonCode};
use http::StatusCode;
use serde::Serialize;
use serde_json::value::RawValue;
use volo_http::response::Response;
use volo_http::server::IntoResponse;

use crate::submission::Refusal;

/// Body of every answer about a job.
#[derive(Debug, Serialize)]
pub struct AnswerBody {
    /// `complete`, `failed`, `not_run`, `unknown`; for a state also `running`, `claimed` or `not_seen`.
    pub outcome: &'static str,
    /// Key for a query of the job's state.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// One result for each task, in task order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<Box<RawValue>>>,
    /// The error, if the outcome is not `complete`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<ErrorBody>,
}

/// Error of an answer that is not `complete`.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// Stable code.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
    /// The invalid field or header, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// When to retry, in milliseconds, if a retry can succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Answer to a request: status, body and connection handling.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: AnswerBody,
    /// Whether to close the connection after the answer, so that the caller connects to another entry.
    pub(crate) closes_connection: bool,
}

impl Answer {
    /// Builds the answer to a refused request, which had no effect.
    pub(crate) fn from_refusal(refusal: Refusal) -> Self {
        let error = ErrorBody {
            code: refusal.code,
            message: refusal.message,
            field: refusal.field,
            retry_after_ms: None,
        };
        Self::new(refusal.status, "not_run", None, Some(error))
    }

    /// Builds the answer with the outcome of a job.
    pub(crate) fn from_outcome(outcome: Outcome, key: String) -> Self {
        let kind = outcome.kind();
        let status = choose_status(&outcome);
        match outcome {
            Outcome::Complete { results } => {
                let results = results.iter().map(|result| wrap_result(result)).collect();
                let mut answer = Self::new(status, kind, Some(key), None);
                answer.body.results = Some(results);
                answer
            }
            Outcome::NotRun {
                reason,
                detail,
                retry_after,
            } => Self::new(
                status,
                kind,
                Some(key),
                Some(explain(reason, detail, retry_after)),
            ),
            Outcome::Failed { reason, detail } | Outcome::Unknown { reason, detail } => {
                Self::new(status, kind, Some(key), Some(explain(reason, detail, None)))
            }
        }
    }

    /// Builds an answer without results.
    pub(crate) fn new(
        status: StatusCode,
        outcome: &'static str,
        key: Option<String>,
        error: Option<ErrorBody>,
    ) -> Self {
        let body = AnswerBody {
            outcome,
            key,
            results: None,
            error,
        };
        Self {
            status,
            body,
            closes_connection: false,
        }
    }
}

impl IntoResponse for Answer {
    fn into_response(self) -> Response {
        let retry_after = self
            .body
            .error
            .as_ref()
            .and_then(|error| error.retry_after_ms);
        let text = serde_json::to_vec(&self.body).unwrap_or_else(|e| {
            log::error!("an answer could not be encoded: {e}");
            Vec::new()
        });
        let mut response = (self.status, text).into_response();
        let headers = response.headers_mut();
        headers.insert(
            "content-type",
            http::HeaderValue::from_static("application/json"),
        );
        if let Some(millis) = retry_after {
            headers.insert(
                "retry-after",
                http::HeaderValue::from(millis.div_ceil(1_000)),
            );
        }
        if self.closes_connection {
            headers.insert("connection", http::HeaderValue::from_static("close"));
        }
        response
    }
}

fn explain(reason: ReasonCode, detail: String, retry_after: Option<Duration>) -> ErrorBody {
    ErrorBody {
        code: reason.as_str(),
        message: detail,
        field: None,
        retry_after_ms: retry_after.map(|delay| delay.as_millis() as u64),
    }
}

fn choose_status(outcome: &Outcome) -> StatusCode {
    match outcome {
        Outcome::Complete { .. } => StatusCode::OK,
        Outcome::Failed { .. } => StatusCode::BAD_GATEWAY,
        Outcome::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
        Outcome::NotRun { reason, .. } => match reason {
            ReasonCode::KeyConflict => StatusCode::CONFLICT,
            ReasonCode::DeadlinePassed => StatusCode::UNPROCESSABLE_ENTITY,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
    }
}

/// Returns a result as JSON; a result that is not valid JSON becomes a string.
fn wrap_result(result: &[u8]) -> Box<RawValue> {
    let text = String::from_utf8_lossy(result).into_owned();
    RawValue::from_string(text.clone()).unwrap_or_else(|_| {
        let quoted = serde_json::Value::String(text).to_string();
        // A quoted string is always valid JSON, so the default is never used.
        RawValue::from_string(quoted).unwrap_or_default()
    })
}
