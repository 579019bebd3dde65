//! Timeouts and the 503 response shared by all operator calls.

use std::time::Duration;

use cloverfold_http::{Response, plain_response};
use http::{HeaderValue, StatusCode};

/// How long a call waits for its configuration or order to be committed.
pub(super) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which a configuration or order is resubmitted to the current leader.
pub(super) const PROPOSAL_RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Value of the `Retry-After` header.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// Returns a 503 response with a text and a `Retry-After` header.
pub(super) fn answer_unavailable(text: &str) -> Response {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, text);
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, RETRY_AFTER_SECONDS);
    response
}
