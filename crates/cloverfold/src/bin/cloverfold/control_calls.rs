//! What the operators' commands to the control processes of a leased installation share: their addresses and the calls.
//!
//! Relies on the operators' interface of a control process (`cloverfold_control`), over HTTP. `argh` cannot share options among
//! commands, so each command declares `at` itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_http::HttpClient;
use cloverfold_programs::{RuntimeThreads, start_runtime};
use eyre::{Result, bail};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// How long one control process may take to answer. Chosen, not measured.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The control processes that a command calls.
pub(crate) struct ControlCalls {
    at: Vec<SocketAddr>,
}

/// Runs the calls of a command to these control processes.
pub(crate) fn run_calls<F>(at: Vec<SocketAddr>, calls: F) -> Result<()>
where
    F: AsyncFnOnce(&ControlCalls) -> Result<()>,
{
    if at.is_empty() {
        bail!("--at: give the operator address of at least one control process");
    }
    start_runtime(RuntimeThreads::PerCore)?.block_on(calls(&ControlCalls { at }))
}

impl ControlCalls {
    pub(crate) async fn get(&self, path: &str) -> Result<String> {
        self.call(Method::GET, path, "").await
    }

    /// Calls one control process after the other until one answers with success or refuses the request.
    ///
    /// Other answers and broken calls lead to the next process; the last one is the error if none is left.
    pub(crate) async fn call(&self, method: Method, path: &str, body: &str) -> Result<String> {
        let client = HttpClient::default();
        let mut last = String::new();
        for address in &self.at {
            let request = build_request(&method, *address, path, body)?;
            match client.call(*address, request, CALL_TIMEOUT).await {
                Ok((StatusCode::OK, _, answer)) => {
                    return Ok(String::from_utf8_lossy(&answer).into_owned());
                }
                Ok((status, _, answer)) if status.is_client_error() => {
                    bail!("{}", describe_answer(*address, status, &answer));
                }
                Ok((status, _, answer)) => last = describe_answer(*address, status, &answer),
                Err(cause) => last = format!("{address}: {cause}"),
            }
        }
        bail!("no control process answered clearly; the last: {last}")
    }
}

fn build_request(
    method: &Method,
    address: SocketAddr,
    path: &str,
    body: &str,
) -> Result<Request<Full<Bytes>>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("Host", address.to_string())
        .header("Content-Type", "application/json")
        .body(Full::from(body.to_owned()))?;
    Ok(request)
}

fn describe_answer(address: SocketAddr, status: StatusCode, answer: &[u8]) -> String {
    format!("{address}: {status}: {}", String::from_utf8_lossy(answer))
}
