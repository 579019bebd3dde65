//! Errors of starting a solo installation.

use std::net::SocketAddr;

use cloverfold_control::ControlError;
use cloverfold_http::{HttpCallError, ListenError};

/// Errors of starting a solo installation.
#[derive(Debug, thiserror::Error)]
pub enum LeasedSoloError {
    /// Files or addresses could not be allocated.
    #[error("the installation cannot be set up: {0}")]
    System(#[from] std::io::Error),
    /// The generated settings are invalid.
    #[error("the generated settings are invalid: {0}")]
    Settings(#[from] serde_json::Error),
    /// A control process could not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// An entry or a guard could not listen.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A request within the installation could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// A call within the installation failed.
    #[error("{address}: {cause}")]
    Call {
        /// The address that was called.
        address: SocketAddr,
        /// The cause of the failure.
        cause: HttpCallError,
    },
    /// A part of the installation did not become ready in time.
    #[error("{0} did not become ready in time")]
    NotReady(&'static str),
}
