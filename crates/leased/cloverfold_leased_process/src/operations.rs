//! HTTP endpoints for operators: health, readiness and metrics of a process.

use std::net::SocketAddr;

use cloverfold_http::{ListenError, ServerHandle, serve_operations};

use crate::shared::Shared;

/// Serves `/healthz`, `/readyz` and `/metrics` if the settings contain an address for them. `not_ready_reason` returns why the process
/// is not ready. Both functions run with the state locked, so they must be fast.
///
/// # Errors
///
/// Returns the address and the system's error if it cannot be bound.
pub fn serve_state_operations<S, W, R>(
    address: Option<SocketAddr>,
    state: &Shared<S>,
    write_metrics: W,
    not_ready_reason: R,
) -> Result<Option<ServerHandle>, ListenError>
where
    S: Send + 'static,
    W: Fn(&S) -> String + Send + Sync + 'static,
    R: Fn(&S) -> Option<&'static str> + Send + Sync + 'static,
{
    let metrics_state = state.clone();
    let readiness_state = state.clone();
    serve_operations(
        address,
        move || write_metrics(&metrics_state.lock()),
        move || not_ready_reason(&readiness_state.lock()),
    )
}
