//! Names, roles and addresses of peers.
//!
//! The role is the prefix of the name in the peer's certificate and decides which requests the peer may send.

use std::net::SocketAddr;

/// Role of a process, which is the prefix of the name in its certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerRole {
    /// Named `entry-…`.
    Entry,
    /// Named `guard-…`.
    Guard,
    /// Named `operator-…`.
    Operator,
}

impl PeerRole {
    /// Returns the role in the prefix of a process's name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name.split_once('-')?.0 {
            "entry" => Some(Self::Entry),
            "guard" => Some(Self::Guard),
            "operator" => Some(Self::Operator),
            _ => None,
        }
    }
}

/// Identity of a process that sent a request, from its certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name in the certificate.
    pub name: String,
    /// Role in the prefix of the name.
    pub role: PeerRole,
}

/// Address of a process, and the name that its certificate must have.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Name in the certificate.
    pub name: String,
    /// UDP address.
    pub address: SocketAddr,
}
