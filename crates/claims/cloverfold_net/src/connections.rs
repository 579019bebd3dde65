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
pub(crate) struct PooledConnection {
    pub(crate) connection: Arc<OnceCell<Connection>>,
    used_at: Instant,
    /// Cloned by each request that waits for replies.
    pub(crate) in_use: Arc<()>,
}

impl Default for PooledConnection {
    fn default() -> Self {
        Self {
            connection: Arc::default(),
            used_at: Instant::now(),
            in_use: Arc::default(),
        }
    }
}

impl PooledConnection {
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

#[derive(Default)]
pub(crate) struct Connections {
    by_peer: Mutex<HashMap<PeerAddress, PooledConnection>>,
}

impl Connections {
    /// Returns the entry of a peer; its concurrent callers share one handshake.
    pub(crate) fn get_or_insert(&self, peer: &PeerAddress) -> PooledConnection {
        let mut by_peer = self.lock();
        let pooled = by_peer.entry(peer.clone()).or_default();
        if pooled.is_closed() {
            *pooled = PooledConnection::default();
        }
        pooled.used_at = Instant::now();
        pooled.clone()
    }

    /// Closes and removes the connection to a peer, if there is one.
    pub(crate) fn close(&self, peer: &PeerAddress, reason: &[u8]) {
        let pooled = self.lock().remove(peer);
        if let Some(pooled) = pooled {
            pooled.close(reason);
        }
    }

    /// Closes and removes the connections that no request has used for longer than `limit`.
    pub(crate) fn close_unused(&self, limit: Duration) {
        self.lock().retain(|_, pooled| {
            let is_unused = pooled.is_unused(limit);
            if is_unused {
                pooled.close(b"unused");
            }
            !is_unused
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PeerAddress, PooledConnection>> {
        // A panic leaves the map consistent, so a poisoned lock is still usable.
        self.by_peer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
