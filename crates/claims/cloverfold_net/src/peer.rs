//! Names, roles and addresses of the processes at the other end.
//!
//! A peer's role decides which requests it may send. Owns no state. Relies on the certificates that the installation's
//! authority signs: a name in one begins with the role.

use std::net::SocketAddr;

/// What a process does; its certificate's name begins with the role.
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
    /// Reads the role out of a process's name.
    pub fn from_name(name: &str) -> Option<Self> {
        match name.split_once('-')?.0 {
            "entry" => Some(Self::Entry),
            "guard" => Some(Self::Guard),
            "operator" => Some(Self::Operator),
            _ => None,
        }
    }
}

/// A process that sent a request, as its certificate names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name in the certificate.
    pub name: String,
    /// Role that the name begins with.
    pub role: PeerRole,
}

/// Where a process is reached and what its certificate must name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Name in the certificate.
    pub name: String,
    /// UDP address.
    pub address: SocketAddr,
}
