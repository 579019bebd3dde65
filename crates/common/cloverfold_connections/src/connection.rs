//! A connection of a budget, and memory that is held for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

use crate::budget::SharedBudget;
use crate::ledger::{ConnectionId, Phase, Reservation};

/// The budget has no room, even after closing the connections that may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoMemory;

/// A connection of a budget; dropping it gives its own memory back.
#[derive(Debug)]
pub struct Connection {
    budget: Arc<SharedBudget>,
    id: ConnectionId,
    /// Memory that it holds until it is dropped, in bytes.
    own_bytes: AtomicUsize,
    closer: Arc<Notify>,
}

impl Connection {
    pub(crate) fn new(
        budget: Arc<SharedBudget>,
        id: ConnectionId,
        bytes: usize,
        closer: Arc<Notify>,
    ) -> Self {
        Self {
            budget,
            id,
            own_bytes: AtomicUsize::new(bytes),
            closer,
        }
    }

    /// Waits until the budget closes this connection to make room. The owner must then drop it.
    pub async fn wait_closed(&self) {
        self.closer.notified().await;
    }

    /// Records that bytes were received; a connection between messages now receives one.
    pub fn record_received(&self, bytes: usize) {
        self.budget.record_received(self.id, bytes);
    }

    /// Records that bytes were received or sent.
    pub fn record_transfer(&self, bytes: usize) {
        self.budget.record_transfer(self.id, bytes);
    }

    /// Records what the connection does from now on.
    pub fn enter(&self, phase: Phase) {
        self.budget.enter(self.id, phase);
    }

    /// Records that the complete request is handled from now on.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if the large requests that are being handled hold too much already; the request is then refused.
    pub fn begin_handling(&self) -> Result<(), NoMemory> {
        self.budget.begin_handling(self.id)
    }

    /// Takes memory that the connection holds until it is dropped; waits while others are closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no room.
    pub async fn extend(&self, bytes: usize) -> Result<(), NoMemory> {
        self.budget.take(self.id, bytes).await?;
        self.own_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    /// Takes memory for a while; waits while others are closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no room.
    pub async fn hold(&self, bytes: usize) -> Result<HeldMemory, NoMemory> {
        self.budget.take(self.id, bytes).await?;
        Ok(self.held(bytes))
    }

    /// Takes memory for a while if there is room at once.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is none. Connections may be closed all the same, which makes room for a later attempt.
    pub fn try_hold(&self, bytes: usize) -> Result<HeldMemory, NoMemory> {
        match self.budget.try_take(self.id, bytes) {
            Reservation::Granted => Ok(self.held(bytes)),
            Reservation::Wait | Reservation::Refused => Err(NoMemory),
        }
    }

    fn held(&self, bytes: usize) -> HeldMemory {
        HeldMemory {
            budget: self.budget.clone(),
            id: self.id,
            bytes,
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let own_bytes = self.own_bytes.load(Ordering::Relaxed);
        self.budget.remove(self.id, own_bytes);
    }
}

/// Memory that is held for a connection; dropping it gives the memory back. It may outlive the connection.
#[derive(Debug)]
pub struct HeldMemory {
    budget: Arc<SharedBudget>,
    id: ConnectionId,
    bytes: usize,
}

impl HeldMemory {
    /// Returns its size, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more memory; waits while others are closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no room; what was held before stays held.
    pub async fn grow(&mut self, bytes: usize) -> Result<(), NoMemory> {
        self.budget.take(self.id, bytes).await?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.budget.give_back(self.id, self.bytes);
    }
}
