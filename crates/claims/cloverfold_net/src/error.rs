//! Errors of the transport between processes.
//!
//! [`CallError`] separates requests that certainly were not handled from those that may have been; callers rely on this
//! when they send a request again. Owns no state.

use std::fmt::Display;
use std::path::PathBuf;

use crate::peer::PeerAddress;

/// Why a request to a peer brought no reply.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The request certainly did not reach the peer's handler.
    #[error("no connection to {peer}: {cause}")]
    NotSent {
        /// Name of the peer.
        peer: String,
        /// What stood in the way.
        cause: String,
    },
    /// The request may have been handled, but its reply did not come.
    #[error("reply of {peer} was lost: {cause}")]
    Lost {
        /// Name of the peer.
        peer: String,
        /// What happened.
        cause: String,
    },
    /// The peer refused the request without handling it.
    #[error("{peer} refused the request: {cause}")]
    Refused {
        /// Name of the peer.
        peer: String,
        /// Its reason.
        cause: String,
    },
}

impl CallError {
    /// Builds a [`CallError::NotSent`].
    pub(crate) fn not_sent(peer: &PeerAddress, cause: &dyn Display) -> Self {
        Self::NotSent {
            peer: peer.name.clone(),
            cause: cause.to_string(),
        }
    }

    /// Builds a [`CallError::Lost`].
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
    /// The address cannot be listened on.
    #[error("cannot listen on UDP {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: std::net::SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// The certificates do not fit together.
    #[error("the certificates cannot be used: {0}")]
    Tls(String),
}

/// Why key files could not be read or made.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A file could not be read, written or understood.
    #[error("key file {path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        cause: String,
    },
    /// A certificate could not be made.
    #[error("cannot make a certificate for {name}: {cause}")]
    Make {
        /// Whose certificate.
        name: String,
        /// What is wrong.
        cause: String,
    },
}
