//! What the calls of operators have in common: how long they wait, and the answer when they have waited in vain.
//!
//! Owns no state.

use std::time::Duration;

use cloverfold_http::{Response, plain_response};
use http::{HeaderValue, StatusCode};

/// How long a call waits until its configuration or order is committed. Chosen, not measured (docs/design/7-control.md, "Proposals").
pub(super) const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How often a configuration or order is submitted again, to the leader of that moment. Chosen, not measured
/// (docs/design/7-control.md, "Proposals").
pub(super) const PROPOSAL_RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Seconds after which a client that was answered 503 should call again. Chosen, not measured.
const RETRY_AFTER_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// Returns 503 with this text, and when to call again.
pub(super) fn answer_unavailable(text: &str) -> Response {
    let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, text);
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, RETRY_AFTER_SECONDS);
    response
}
