//! Listening on addresses from the settings, and the endpoints `/healthz`, `/readyz` and `/metrics`.

use std::net::SocketAddr;

use http::StatusCode;
use tokio::net::TcpListener;

use crate::server::{HttpLimits, Request, Response, ServerHandle, plain_response, serve};

/// An address from the settings on which the process cannot listen.
#[derive(Debug, thiserror::Error)]
#[error("{setting} {address}: {cause}; free the address or change the setting")]
pub struct ListenError {
    /// The setting that contains the address.
    pub setting: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The system's error.
    pub cause: std::io::Error,
}

/// Listens on an address from the settings.
///
/// # Errors
///
/// Returns the setting, the address and the system's error.
pub fn listen_at(setting: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    cloverfold_link::listen(address).map_err(|cause| ListenError {
        setting,
        address,
        cause,
    })
}

/// Serves a handler on an address from the settings.
///
/// # Errors
///
/// Returns the setting, the address and the system's error.
pub fn serve_at<L, H, F>(
    setting: &'static str,
    address: SocketAddr,
    limits: L,
    handler: H,
) -> Result<ServerHandle, ListenError>
where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
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

/// Serves `/healthz`, `/readyz` and `/metrics`; returns `None` if `address` is `None`.
///
/// `not_ready_reason` returns why the process is not ready for work, in which case `/readyz` responds with 503.
///
/// # Errors
///
/// Returns the setting, the address and the system's error.
pub fn serve_operations<M, R>(
    address: Option<SocketAddr>,
    write_metrics: M,
    not_ready_reason: R,
) -> Result<Option<ServerHandle>, ListenError>
where
    M: Fn() -> String + Send + Sync + 'static,
    R: Fn() -> Option<&'static str> + Send + Sync + 'static,
{
    let Some(address) = address else {
        return Ok(None);
    };
    let handler = move |request: Request| {
        let response = match request.uri.path() {
            "/healthz" => plain_response(StatusCode::OK, "ok\n"),
            "/metrics" => plain_response(StatusCode::OK, write_metrics()),
            "/readyz" => match not_ready_reason() {
                None => plain_response(StatusCode::OK, "ready\n"),
                Some(reason) => {
                    plain_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"))
                }
            },
            _ => plain_response(StatusCode::NOT_FOUND, "no such page\n"),
        };
        async move { response }
    };
    serve_at("peer.metrics_port", address, HttpLimits::default, handler).map(Some)
}
