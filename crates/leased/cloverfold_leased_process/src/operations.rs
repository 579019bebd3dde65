//! The HTTP pages for operators, read off the state of the process.
//!
//! Gives every leased process the same pages. Owns nothing: the caller keeps the [`ServerHandle`]. Relies on `cloverfold_http` to serve, and on the
//! two functions of the caller to be quick, since the state is locked while they run.

use std::net::SocketAddr;

use cloverfold_http::{ListenError, ServerHandle, serve_operations};

use crate::shared::Shared;

/// Serves `/healthz`, `/readyz` and `/metrics` of a state where the settings name an address for them. Both functions run with the
/// state locked; `find_unreadiness` returns why the process is not ready.
///
/// # Errors
///
/// Returns the address and the system's error if it cannot be bound.
pub fn serve_state_operations<S, W, R>(
    address: Option<SocketAddr>,
    state: &Shared<S>,
    write_metrics: W,
    find_unreadiness: R,
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
        move || find_unreadiness(&readiness_state.lock()),
    )
}
