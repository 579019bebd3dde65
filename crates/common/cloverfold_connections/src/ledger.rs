//! Which connection gets memory, which waits, which is closed and which is refused.
//!
//! A connection makes progress when a message begins or ends, and with each [`MIN_PROGRESS_BYTES`] that it receives or sends; a client
//! that sends single bytes makes none. It is *stalled* after [`STALL_TIMEOUT`] without progress.
//!
//! When the budget is used up, room is made in this order:
//!
//! 1. stalled connections in the middle of a message are closed, the longest stalled first;
//! 2. stalled connections between messages are closed, the longest stalled first;
//! 3. a connection that holds at most its equal share of the budget has others closed that are not handling a request, those that hold the
//!    most first;
//! 4. otherwise the connection that needs the memory is refused.
//!
//! A connection whose request is being handled is never closed. So that those do not take everything, the ones that hold more than an equal
//! share by the maximum number of connections may together hold [`HANDLED_SHARE`] of the budget; a further one is refused.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

/// Time without progress after which a connection may be closed to make room.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of bytes that count as progress within a message.
pub const MIN_PROGRESS_BYTES: usize = 1_024;

/// Share of the budget that large requests may hold while they are handled, as a numerator and a denominator.
pub const HANDLED_SHARE: (usize, usize) = (3, 4);

/// Number of a connection within its ledger; never reused.
pub type ConnectionId = u64;

/// Limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum memory held for all connections together, in bytes.
    pub bytes: usize,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Between messages.
    Idle,
    /// Receiving a message.
    Receiving,
    /// A complete request is being handled.
    Handling,
    /// Sending a response.
    Responding,
}

/// Outcome of a request for memory or for a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// It is granted.
    Granted,
    /// Connections are being closed to make room; ask again once one of them has closed.
    Wait,
    /// There is no room.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Account {
    phase: Phase,
    /// Memory held for it, in bytes.
    bytes: usize,
    progressed_at: Timestamp,
    /// Bytes transferred since the last progress.
    unreported: usize,
    is_closing: bool,
}

impl Account {
    fn is_stalled(&self, now: Timestamp) -> bool {
        now.saturating_duration_since(self.progressed_at) >= STALL_TIMEOUT
    }

    fn is_closable(&self) -> bool {
        self.phase != Phase::Handling && !self.is_closing
    }

    fn is_mid_message(&self) -> bool {
        matches!(self.phase, Phase::Receiving | Phase::Responding)
    }
}

/// What is to be freed by closing connections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Need {
    /// Memory beyond what is available.
    Bytes {
        missing: usize,
        asked: usize,
    },
    Connection,
}

/// The connections of a budget and the memory held for each.
#[derive(Debug)]
pub struct Ledger {
    limits: BudgetLimits,
    accounts: HashMap<ConnectionId, Account>,
    last_id: ConnectionId,
    /// Memory held, including for connections that have closed.
    held: usize,
    /// Connections to close, not yet taken.
    closures: Vec<ConnectionId>,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            accounts: HashMap::new(),
            last_id: 0,
            held: 0,
            closures: Vec::new(),
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the memory held, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held
    }

    /// Adds a connection that holds `bytes` from the start; returns its number if that is granted.
    pub fn open(&mut self, bytes: usize, now: Timestamp) -> Result<ConnectionId, Reservation> {
        if self.accounts.len() >= self.limits.connections {
            let reservation = self.make_room(None, Need::Connection, now);
            return Err(reservation);
        }
        match self.reserve(None, bytes, now) {
            Reservation::Granted => {}
            other => return Err(other),
        }
        self.last_id += 1;
        let account = Account {
            phase: Phase::Idle,
            bytes,
            progressed_at: now,
            unreported: 0,
            is_closing: false,
        };
        self.accounts.insert(self.last_id, account);
        Ok(self.last_id)
    }

    /// Reserves memory for a connection.
    pub fn take(&mut self, id: ConnectionId, bytes: usize, now: Timestamp) -> Reservation {
        let reservation = match self.accounts.get(&id) {
            // It is about to lose what it has.
            None => Reservation::Refused,
            Some(account) if account.is_closing => Reservation::Refused,
            Some(account)
                if account.phase == Phase::Handling
                    && !self.may_handle(id, account.bytes + bytes) =>
            {
                Reservation::Refused
            }
            Some(_) => self.reserve(Some(id), bytes, now),
        };
        if reservation == Reservation::Granted
            && let Some(account) = self.accounts.get_mut(&id)
        {
            account.bytes += bytes;
        }
        reservation
    }

    /// Adds `bytes` to what is held if there is room.
    fn reserve(&mut self, id: Option<ConnectionId>, bytes: usize, now: Timestamp) -> Reservation {
        if bytes > self.limits.bytes {
            return Reservation::Refused;
        }
        let available = self.limits.bytes.saturating_sub(self.held);
        if bytes <= available {
            self.held += bytes;
            return Reservation::Granted;
        }
        let need = Need::Bytes {
            missing: bytes - available,
            asked: bytes,
        };
        self.make_room(id, need, now)
    }

    /// Gives back memory of a connection, which may have closed since.
    pub fn give_back(&mut self, id: ConnectionId, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.bytes = account.bytes.saturating_sub(bytes);
        }
    }

    /// Records that a connection has received bytes; a connection between messages now receives one.
    pub fn record_received(&mut self, id: ConnectionId, bytes: usize, now: Timestamp) {
        if self.phase(id) == Some(Phase::Idle) {
            self.enter(id, Phase::Receiving, now);
        }
        self.record_transfer(id, bytes, now);
    }

    /// Records that a connection has received or sent bytes.
    pub fn record_transfer(&mut self, id: ConnectionId, bytes: usize, now: Timestamp) {
        let Some(account) = self.accounts.get_mut(&id) else {
            return;
        };
        account.unreported += bytes;
        if account.unreported >= MIN_PROGRESS_BYTES {
            account.unreported = 0;
            account.progressed_at = now;
        }
    }

    /// Begins to handle the request of a connection, unless large requests that are being handled hold too much already.
    pub fn begin_handling(&mut self, id: ConnectionId, now: Timestamp) -> Reservation {
        let held = self.accounts.get(&id).map_or(0, |account| account.bytes);
        if !self.may_handle(id, held) {
            return Reservation::Refused;
        }
        self.enter(id, Phase::Handling, now);
        Reservation::Granted
    }

    /// Returns whether a request may be handled that holds this much.
    fn may_handle(&self, id: ConnectionId, held: usize) -> bool {
        let small = self.limits.bytes / self.limits.connections.max(1);
        if held <= small {
            return true;
        }
        let others = self.accounts.iter().filter(|(other, account)| {
            **other != id && account.phase == Phase::Handling && account.bytes > small
        });
        let others: usize = others.map(|(_, account)| account.bytes).sum();
        let (numerator, denominator) = HANDLED_SHARE;
        others + held <= self.limits.bytes / denominator * numerator
    }

    /// Records what a connection does from now on; a change is progress.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Timestamp) {
        if let Some(account) = self.accounts.get_mut(&id)
            && account.phase != phase
        {
            account.phase = phase;
            account.unreported = 0;
            account.progressed_at = now;
        }
    }

    /// Returns what a connection is doing; `None` if it has closed.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.accounts.get(&id).map(|account| account.phase)
    }

    /// Removes a connection that has closed. Memory that is held for it is given back on its own.
    pub fn remove(&mut self, id: ConnectionId) {
        self.accounts.remove(&id);
        self.closures.retain(|closing| *closing != id);
    }

    /// Returns the connections to close, and forgets them.
    pub fn take_closures(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.closures)
    }

    /// Selects connections to close until their closing frees what is needed.
    fn make_room(
        &mut self,
        asking: Option<ConnectionId>,
        need: Need,
        now: Timestamp,
    ) -> Reservation {
        let mut freed: usize = self
            .accounts
            .values()
            .filter(|account| account.is_closing)
            .map(|account| need.freed_by(account))
            .sum();
        if freed >= need.amount() {
            // Many wait at once under load, and each would sort all connections.
            return Reservation::Wait;
        }
        let mut candidates = self.list_closable(asking, need, now);
        let mut chosen = Vec::new();
        while freed < need.amount() {
            let Some(id) = candidates.pop() else {
                return Reservation::Refused;
            };
            freed += self
                .accounts
                .get(&id)
                .map_or(0, |account| need.freed_by(account));
            chosen.push(id);
        }
        for id in &chosen {
            if let Some(account) = self.accounts.get_mut(id) {
                account.is_closing = true;
            }
        }
        self.closures.extend(chosen);
        Reservation::Wait
    }

    /// Lists the connections that may be closed for `asking`, the first to close last.
    fn list_closable(
        &self,
        asking: Option<ConnectionId>,
        need: Need,
        now: Timestamp,
    ) -> Vec<ConnectionId> {
        let others = self.accounts.iter().filter(|(id, account)| {
            Some(**id) != asking && account.is_closable() && need.freed_by(account) > 0
        });
        let (mut stalled, mut active): (Vec<_>, Vec<_>) =
            others.partition(|(_, account)| account.is_stalled(now));
        stalled.sort_unstable_by_key(|(id, account)| {
            (
                account.is_mid_message(),
                Reverse(account.progressed_at),
                **id,
            )
        });
        if !self.is_within_share(asking, need) {
            active.clear();
        }
        active.sort_unstable_by_key(|(id, account)| (account.bytes, Reverse(**id)));
        active
            .into_iter()
            .chain(stalled)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Returns whether a connection would hold at most an equal share of the budget.
    fn is_within_share(&self, asking: Option<ConnectionId>, need: Need) -> bool {
        let Need::Bytes { asked, .. } = need else {
            return true;
        };
        let held = asking
            .and_then(|id| self.accounts.get(&id))
            .map_or(0, |account| account.bytes);
        let share = self.limits.bytes / self.accounts.len().max(1);
        held + asked <= share
    }
}

impl Need {
    fn amount(self) -> usize {
        match self {
            Self::Bytes { missing, .. } => missing,
            Self::Connection => 1,
        }
    }

    /// Returns how much of it is freed when a connection closes.
    fn freed_by(self, account: &Account) -> usize {
        match self {
            Self::Bytes { .. } => account.bytes,
            Self::Connection => 1,
        }
    }
}
