//! A [`Ledger`] that the connections of a process share, with the closing of connections, waiting for memory, and counts.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cloverfold_base::ProcessClock;
use tokio::sync::Notify;

use crate::connection::{Connection, NoMemory};
use crate::ledger::{BudgetLimits, ConnectionId, Ledger, Phase, Reservation};
use crate::outcome_log::{Outcome, OutcomeLog};

/// Shares of a budget in use, and what it has refused since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Number of open connections.
    pub connections: usize,
    /// Memory held, in bytes.
    pub held_bytes: usize,
    /// Connections that were closed to make room.
    pub closed: u64,
    /// Connections that were not accepted.
    pub refused_connections: u64,
    /// Requests for memory that were refused.
    pub refused_memory: u64,
}

/// A budget of connections and memory; clones share it.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    shared: Arc<SharedBudget>,
}

#[derive(Debug)]
pub(crate) struct SharedBudget {
    /// Names the budget in log lines.
    name: &'static str,
    clock: ProcessClock,
    state: Mutex<BudgetState>,
    /// Notified when memory or a connection is given back.
    freed: Notify,
}

#[derive(Debug)]
struct BudgetState {
    ledger: Ledger,
    /// Notified to close a connection.
    closers: HashMap<ConnectionId, Arc<Notify>>,
    outcomes: OutcomeLog,
}

impl ConnectionBudget {
    /// Creates a budget; its name appears in log lines.
    pub fn new(name: &'static str, limits: BudgetLimits) -> Self {
        let state = BudgetState {
            ledger: Ledger::new(limits),
            closers: HashMap::new(),
            outcomes: OutcomeLog::default(),
        };
        let shared = SharedBudget {
            name,
            clock: ProcessClock::default(),
            state: Mutex::new(state),
            freed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Creates a budget without limits, for tools and tests.
    pub fn unlimited() -> Self {
        let limits = BudgetLimits {
            connections: usize::MAX,
            bytes: usize::MAX,
        };
        Self::new("unlimited", limits)
    }

    /// Returns the limits.
    pub fn limits(&self) -> BudgetLimits {
        self.shared.lock().ledger.limits()
    }

    /// Returns the usage.
    pub fn usage(&self) -> BudgetUsage {
        let state = self.shared.lock();
        BudgetUsage {
            connections: state.ledger.connections(),
            held_bytes: state.ledger.held_bytes(),
            closed: state.outcomes.count(Outcome::Closed),
            refused_connections: state.outcomes.count(Outcome::ConnectionRefused),
            refused_memory: state.outcomes.count(Outcome::MemoryRefused),
        }
    }

    /// Adds a connection that holds `bytes` until it is dropped; waits while others are closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if there is no room.
    pub async fn open(&self, bytes: usize) -> Result<Connection, NoMemory> {
        let opened = self.shared.retry_when_freed(|shared, state| {
            let id = match state.ledger.open(bytes, shared.clock.now()) {
                Ok(id) => id,
                Err(Reservation::Wait) => return Err(Reservation::Wait),
                Err(other) => {
                    shared.record(state, Outcome::ConnectionRefused);
                    return Err(other);
                }
            };
            // Within the same lock, because another thread may select the connection at once.
            let closer = Arc::new(Notify::new());
            state.closers.insert(id, closer.clone());
            Ok((id, closer))
        });
        let (id, closer) = opened.await?;
        Ok(Connection::new(self.shared.clone(), id, bytes, closer))
    }
}

impl SharedBudget {
    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes memory for a connection without waiting.
    pub(crate) fn try_take(&self, id: ConnectionId, bytes: usize) -> Reservation {
        let mut state = self.lock();
        let reservation = state.ledger.take(id, bytes, self.clock.now());
        match reservation {
            Reservation::Granted => {}
            Reservation::Wait => self.close_selected(&mut state),
            Reservation::Refused => self.record(&mut state, Outcome::MemoryRefused),
        }
        reservation
    }

    /// Takes memory for a connection; waits while others are closed for it.
    pub(crate) async fn take(&self, id: ConnectionId, bytes: usize) -> Result<(), NoMemory> {
        self.retry_when_freed(|shared, state| {
            match state.ledger.take(id, bytes, shared.clock.now()) {
                Reservation::Granted => Ok(()),
                Reservation::Wait => Err(Reservation::Wait),
                Reservation::Refused => {
                    shared.record(state, Outcome::MemoryRefused);
                    Err(Reservation::Refused)
                }
            }
        })
        .await
    }

    /// Repeats an attempt, each time something is given back, until it is granted or refused.
    async fn retry_when_freed<T>(
        &self,
        mut attempt: impl FnMut(&Self, &mut BudgetState) -> Result<T, Reservation>,
    ) -> Result<T, NoMemory> {
        loop {
            let freed = self.freed.notified();
            {
                let mut state = self.lock();
                match attempt(self, &mut state) {
                    Ok(granted) => return Ok(granted),
                    Err(Reservation::Wait) => self.close_selected(&mut state),
                    Err(_) => return Err(NoMemory),
                }
            }
            // `notified` receives every notification after its creation, so none is missed.
            freed.await;
        }
    }

    fn close_selected(&self, state: &mut BudgetState) {
        for id in state.ledger.take_closures() {
            if let Some(closer) = state.closers.get(&id) {
                closer.notify_one();
            }
            self.record(state, Outcome::Closed);
        }
    }

    /// Counts an outcome, and logs it at a bounded rate.
    fn record(&self, state: &mut BudgetState, outcome: Outcome) {
        if let Some(recent) = state.outcomes.record(outcome, self.clock.now()) {
            log::warn!(
                listener = self.name,
                connections = state.ledger.connections(),
                held_bytes = state.ledger.held_bytes(),
                closed = recent.closed,
                refused_connections = recent.refused_connections,
                refused_memory = recent.refused_memory;
                "clients use up the connections or memory reserved for them"
            );
        }
    }

    pub(crate) fn give_back(&self, id: ConnectionId, bytes: usize) {
        self.lock().ledger.give_back(id, bytes);
        self.freed.notify_waiters();
    }

    pub(crate) fn remove(&self, id: ConnectionId, bytes: usize) {
        let mut state = self.lock();
        state.ledger.give_back(id, bytes);
        state.ledger.remove(id);
        state.closers.remove(&id);
        drop(state);
        self.freed.notify_waiters();
    }

    pub(crate) fn record_received(&self, id: ConnectionId, bytes: usize) {
        let now = self.clock.now();
        self.lock().ledger.record_received(id, bytes, now);
    }

    pub(crate) fn record_transfer(&self, id: ConnectionId, bytes: usize) {
        let now = self.clock.now();
        self.lock().ledger.record_transfer(id, bytes, now);
    }

    pub(crate) fn begin_handling(&self, id: ConnectionId) -> Result<(), NoMemory> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.ledger.begin_handling(id, now) == Reservation::Granted {
            return Ok(());
        }
        self.record(&mut state, Outcome::MemoryRefused);
        Err(NoMemory)
    }

    pub(crate) fn enter(&self, id: ConnectionId, phase: Phase) {
        let now = self.clock.now();
        self.lock().ledger.enter(id, phase, now);
    }
}
