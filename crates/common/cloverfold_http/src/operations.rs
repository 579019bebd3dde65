//! Listening on addresses from the settings, and the endpoints `/healthz`, `/readyz` and `/metrics`.

use std::net::SocketAddr;

use cloverfold_connections::{BudgetLimits, ConnectionBudget, DescriptorPlan};
use http::StatusCode;
use tokio::net::TcpListener;

use crate::limits::HttpLimits;
use crate::messages::{Request, Response, plain_response};
use crate::server::{ServerHandle, serve};

/// Memory for the connections of a listener for readiness checks or metrics, in bytes.
const OPERATIONS_BYTES: usize = 4 * 1024 * 1024;

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
    budget: ConnectionBudget,
    handler: H,
) -> Result<ServerHandle, ListenError>
where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let listener = listen_at(setting, address)?;
    serve(listener, limits, budget, handler).map_err(|cause| ListenError {
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
    let budget = operations_budget("peer.metrics_port");
    serve_at(
        "peer.metrics_port",
        address,
        HttpLimits::default,
        budget,
        handler,
    )
    .map(Some)
}

/// Returns the budget of a listener for readiness checks or metrics. Each has its own, so that neither a crowd at another listener nor one
/// of its own clients can shut out a check.
pub fn operations_budget(name: &'static str) -> ConnectionBudget {
    let limits = BudgetLimits {
        connections: DescriptorPlan::of_process().operations,
        bytes: OPERATIONS_BYTES,
    };
    ConnectionBudget::new(name, limits)
}
