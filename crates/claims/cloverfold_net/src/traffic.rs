//! Byte counts of all connections, from the statistics of `quinn`.

use std::sync::{Mutex, MutexGuard, PoisonError};

use quinn::Connection;

/// Bytes of UDP payload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

impl Traffic {
    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.sent += stats.udp_tx.bytes;
        self.received += stats.udp_rx.bytes;
    }
}

/// Counts the bytes of all open and closed connections.
#[derive(Default)]
pub(crate) struct TrafficCounter {
    state: Mutex<CounterState>,
}

#[derive(Default)]
struct CounterState {
    open: Vec<Connection>,
    /// Bytes of the closed connections.
    closed: Traffic,
}

impl TrafficCounter {
    pub(crate) fn track(&self, connection: Connection) {
        self.lock().open.push(connection);
    }

    /// Returns the bytes of all connections since the start.
    pub(crate) fn count(&self) -> Traffic {
        let mut state = self.lock();
        let is_closed = |connection: &mut Connection| connection.close_reason().is_some();
        let closed: Vec<Connection> = state.open.extract_if(.., is_closed).collect();
        for connection in &closed {
            state.closed.add(connection);
        }
        let mut total = state.closed;
        for connection in &state.open {
            total.add(connection);
        }
        total
    }

    fn lock(&self) -> MutexGuard<'_, CounterState> {
        // A panic leaves the counts consistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
