//! Errors of the transport between processes.
//!
//! [`CallError`] distinguishes requests that were certainly not handled, and are safe to retry, from those that may
//! have been handled.

use std::fmt::Display;
use std::path::PathBuf;

use crate::peer::PeerAddress;

/// Why a request to a peer got no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request certainly did not reach the peer's handler.
    #[error("no connection to {peer}: {cause}")]
    NotSent {
        /// Name of the peer.
        peer: String,
        /// The error.
        cause: String,
    },
    /// The request may have been handled, but there was no reply.
    #[error("reply of {peer} was lost: {cause}")]
    Lost {
        /// Name of the peer.
        peer: String,
        /// The error.
        cause: String,
    },
    /// The peer refused the request without handling it.
    #[error("{peer} refused the request: {cause}")]
    Refused {
        /// Name of the peer.
        peer: String,
        /// The status in the reply.
        cause: String,
    },
}

impl CallError {
    pub(crate) fn not_sent(peer: &PeerAddress, cause: &dyn Display) -> Self {
        Self::NotSent {
            peer: peer.name.clone(),
            cause: cause.to_string(),
        }
    }

    pub(crate) fn lost(peer: &PeerAddress, cause: &dyn Display) -> Self {
        Self::Lost {
            peer: peer.name.clone(),
            cause: cause.to_string(),
        }
    }
}

/// Why the network of a process could not start.
#[derive(Debug, thiserror::Error)]
pub enum NetError {
    /// A key file is missing or unusable.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// The process cannot listen on the address.
    #[error("cannot listen on UDP {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The TLS or transport configuration is invalid.
    #[error("the certificates cannot be used: {0}")]
    Tls(String),
}

/// Why key files could not be read or created.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file could not be read, written or parsed.
    #[error("key file {path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// The error.
        cause: String,
    },
    /// A certificate could not be created.
    #[error("cannot make a certificate for {name}: {cause}")]
    Make {
        /// Name in the certificate.
        name: String,
        /// The error.
        cause: String,
    },
}
