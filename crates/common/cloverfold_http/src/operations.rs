//! Addresses that a process listens on, and the pages for operators.

use std::net::SocketAddr;

use http::StatusCode;
use tokio::net::TcpListener;

use crate::server::{HttpLimits, Request, Response, Serving, plain_response, serve};

/// An address that cannot be listened on.
#[derive(Debug, thiserror::Error)]
#[error("{setting} {address}: {cause}; free the address or change the setting")]
pub struct ListenError {
    /// The setting that names the address.
    pub setting: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The system's error.
    pub cause: std::io::Error,
}

/// Listens on an address of the settings.
///
/// # Errors
///
/// Names the setting and the address.
pub fn listen_at(setting: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    cloverfold_link::listen(address).map_err(|cause| ListenError {
        setting,
        address,
        cause,
    })
}

/// Serves a handler on an address of the settings.
///
/// # Errors
///
/// Names the setting and the address.
pub fn serve_at<L, H, F>(
    setting: &'static str,
    address: SocketAddr,
    limits: L,
    handler: H,
) -> Result<Serving, ListenError>
where
    L: Fn() -> HttpLimits + Send + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = listen_at(setting, address)?;
    serve(listener, limits, handler).map_err(|cause| ListenError {
        setting,
        address,
        cause,
    })
}

/// Serves `/healthz`, `/readyz` and `/metrics` where the settings name an address for them.
///
/// # Errors
///
/// Names the address.
pub fn serve_operations<M, R>(
    address: Option<SocketAddr>,
    write_metrics: M,
    find_unreadiness: R,
) -> Result<Option<Serving>, ListenError>
where
    M: Fn() -> String + Send + Sync + 'static,
    R: Fn() -> Option<&'static str> + Send + Sync + 'static,
{
    let Some(address) = address else {
        return Ok(None);
    };
    let answer = move |request: Request| {
        let response = match request.uri.path() {
            "/healthz" => plain_response(StatusCode::OK, "ok\n"),
            "/metrics" => plain_response(StatusCode::OK, write_metrics()),
            "/readyz" => match find_unreadiness() {
                None => plain_response(StatusCode::OK, "ready\n"),
                Some(why) => plain_response(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n")),
            },
            _ => plain_response(StatusCode::NOT_FOUND, "no such page\n"),
        };
        async move { response }
    };
    serve_at("peer.metrics_port", address, HttpLimits::default, answer).map(Some)
}
