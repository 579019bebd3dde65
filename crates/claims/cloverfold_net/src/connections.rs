//! The outgoing connections of this process, one for each peer.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use quinn::{Connection, VarInt};
use tokio::sync::OnceCell;

use crate::peer::PeerAddress;

/// Error code with which this process closes a connection that it opened.
const CLOSED_BY_CALLER: VarInt = VarInt::from_u32(2);

/// A connection to a peer, or the handshake for which callers wait.
#[derive(Clone)]
pub(crate) struct ConnectionCell {
    pub(crate) connection: Arc<OnceCell<Connection>>,
    used_at: Instant,
    /// Cloned by each request that waits for replies.
    pub(crate) in_use: Arc<()>,
}

impl Default for ConnectionCell {
    fn default() -> Self {
        Self {
            connection: Arc::default(),
            used_at: Instant::now(),
            in_use: Arc::default(),
        }
    }
}

impl ConnectionCell {
    fn is_closed(&self) -> bool {
        let connection = self.connection.get();
        connection.is_some_and(|connection| connection.close_reason().is_some())
    }

    fn is_unused(&self, limit: Duration) -> bool {
        Arc::strong_count(&self.in_use) == 1 && self.used_at.elapsed() > limit
    }

    fn close(&self, reason: &[u8]) {
        if let Some(connection) = self.connection.get() {
            connection.close(CLOSED_BY_CALLER, reason);
        }
    }
}

/// Connections by peer.
#[derive(Default)]
pub(crate) struct Connections {
    by_peer: Mutex<HashMap<PeerAddress, ConnectionCell>>,
}

impl Connections {
    /// Returns the cell of the peer's connection, in which concurrent callers share one handshake.
    pub(crate) fn cell_of(&self, peer: &PeerAddress) -> ConnectionCell {
        let mut by_peer = self.lock();
        let cell = by_peer.entry(peer.clone()).or_default();
        if cell.is_closed() {
            *cell = ConnectionCell::default();
        }
        cell.used_at = Instant::now();
        cell.clone()
    }

    /// Closes and removes the connection to a peer, if there is one.
    pub(crate) fn close(&self, peer: &PeerAddress, reason: &[u8]) {
        let cell = self.lock().remove(peer);
        if let Some(cell) = cell {
            cell.close(reason);
        }
    }

    /// Closes and removes the connections that no request has used for longer than `limit`.
    pub(crate) fn close_unused(&self, limit: Duration) {
        self.lock().retain(|_, cell| {
            let is_unused = cell.is_unused(limit);
            if is_unused {
                cell.close(b"unused");
            }
            !is_unused
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PeerAddress, ConnectionCell>> {
        // A panic leaves the map consistent, so a poisoned lock is still usable.
        self.by_peer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
