//! HTTP client for the operator API of the control processes, shared by the operator commands of a leased installation.
//!
//! `argh` cannot share options between commands, so each command declares `at` itself.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_http::HttpClient;
use cloverfold_programs::{RuntimeThreads, start_runtime};
use eyre::{Result, bail};
use http::{Method, Request, StatusCode};
use http_body_util::Full;

/// Timeout of a request to one control process.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// A client that tries several control processes in turn.
pub(crate) struct ControlClient {
    addresses: Vec<SocketAddr>,
}

/// Runs a command on a new runtime with a client for the control processes at these addresses.
pub(crate) fn run_with_client<F>(addresses: Vec<SocketAddr>, command: F) -> Result<()>
where
    F: AsyncFnOnce(&ControlClient) -> Result<()>,
{
    if addresses.is_empty() {
        bail!("--at: give the operator address of at least one control process");
    }
    start_runtime(RuntimeThreads::PerCore)?.block_on(command(&ControlClient { addresses }))
}

impl ControlClient {
    pub(crate) async fn get(&self, path: &str) -> Result<String> {
        self.request(Method::GET, path, "").await
    }

    /// Sends a request to the control processes in turn until one answers with success or with a client error.
    ///
    /// After any other status or a failed call it tries the next process. If all fail, it returns the last failure as the error.
    pub(crate) async fn request(&self, method: Method, path: &str, body: &str) -> Result<String> {
        let http_client = HttpClient::default();
        let mut last = String::new();
        for address in &self.addresses {
            let request = build_request(&method, *address, path, body)?;
            match http_client.call(*address, request, CALL_TIMEOUT).await {
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
