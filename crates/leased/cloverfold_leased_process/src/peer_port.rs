//! The peer address of a process, and the event loop that drives its state.
//!
//! Create a [`PeerPort`] first, because the state needs the [`DialedPeers`] from it. [`PeerPort::listen`] binds the address, and
//! [`ListeningPeerPort::run`] serves the links and drives the state. All links of the process report to one channel.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_connections::{BudgetLimits, ConnectionBudget, DescriptorPlan};
use cloverfold_http::{ListenError, listen_at};
use cloverfold_link::{Greeting, LinkEvent, UNIDENTIFIED_LINK_BYTES, accept_links};
use cloverfold_peer::{DialedPeers, PeerMessage};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Interval, MissedTickBehavior, interval};

use crate::shared::Shared;

/// Capacity of the channel for link events; links stop reading while it is full.
const LINK_EVENT_CAPACITY: usize = 1_024;

/// A process state that is driven by link events and ticks.
pub trait ProcessState: Send + 'static {
    /// Starts to dial; called once, within the runtime, before any other function.
    fn on_start(&mut self);

    /// Handles a link event.
    fn on_link_event(&mut self, event: LinkEvent<PeerMessage>);

    /// Runs the work that is due.
    fn tick(&mut self);
}

/// The peer address of a process, before it listens.
#[derive(Debug)]
pub struct PeerPort {
    /// Address by which peers reach this process; the process never dials it.
    address: SocketAddr,
    listen_address: SocketAddr,
    /// Bounds the links whose peer has not identified itself.
    unidentified: ConnectionBudget,
    events_tx: mpsc::Sender<LinkEvent<PeerMessage>>,
    events_rx: mpsc::Receiver<LinkEvent<PeerMessage>>,
}

impl PeerPort {
    /// Creates the port. Peers dial `address`, which differs from `listen_address` if a relay forwards their connections.
    pub fn new(address: SocketAddr, listen_address: SocketAddr) -> Self {
        let (events_tx, events_rx) = mpsc::channel(LINK_EVENT_CAPACITY);
        Self {
            address,
            listen_address,
            unidentified: unidentified_links_budget(),
            events_tx,
            events_rx,
        }
    }

    /// Returns the budget of links whose peer has not identified itself.
    pub fn unidentified_links(&self) -> ConnectionBudget {
        self.unidentified.clone()
    }

    /// Returns an empty set of dialed peers whose links report to this port.
    pub fn dialed_peers(&self) -> DialedPeers {
        DialedPeers::new(self.address, self.events_tx.clone())
    }

    /// Binds the address.
    ///
    /// # Errors
    ///
    /// Returns the address and the system's error if it cannot be bound.
    pub fn listen(self) -> Result<ListeningPeerPort, ListenError> {
        let listener = listen_at("peer.port", self.listen_address)?;
        Ok(ListeningPeerPort {
            listener,
            unidentified: self.unidentified,
            events_tx: self.events_tx,
            events_rx: self.events_rx,
        })
    }
}

/// The bound peer address of a process; it accepts no links before [`ListeningPeerPort::run`].
#[derive(Debug)]
pub struct ListeningPeerPort {
    listener: TcpListener,
    unidentified: ConnectionBudget,
    events_tx: mpsc::Sender<LinkEvent<PeerMessage>>,
    events_rx: mpsc::Receiver<LinkEvent<PeerMessage>>,
}

impl ListeningPeerPort {
    /// Accepts links, and drives the state with their events and a tick at each interval of `tick`. The tasks end when `tasks` is dropped.
    pub fn run<S: ProcessState>(self, state: Shared<S>, tick: Duration, tasks: &mut JoinSet<()>) {
        let events_rx = self.accept(tasks);
        tasks.spawn(drive_state(state, tick, events_rx));
    }

    /// Accepts links and returns the channel of their events, for a process whose state also handles other events.
    pub fn accept(self, tasks: &mut JoinSet<()>) -> mpsc::Receiver<LinkEvent<PeerMessage>> {
        let greeting = Greeting {
            budget: self.unidentified,
            is_greeting: |message| matches!(message, PeerMessage::Hello(_)),
        };
        tasks.spawn(accept_links(self.listener, greeting, self.events_tx));
        self.events_rx
    }
}

fn unidentified_links_budget() -> ConnectionBudget {
    let connections = DescriptorPlan::of_process().unidentified_links;
    let limits = BudgetLimits {
        connections,
        bytes: connections * UNIDENTIFIED_LINK_BYTES,
    };
    ConnectionBudget::new("peer.port", limits)
}

/// Returns the tick interval of a process. After a delayed tick the next one follows a whole interval later, so a stalled process does not
/// catch up on missed ticks.
pub fn tick_interval(tick: Duration) -> Interval {
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn drive_state<S: ProcessState>(
    state: Shared<S>,
    tick: Duration,
    mut events_rx: mpsc::Receiver<LinkEvent<PeerMessage>>,
) {
    state.lock().on_start();
    let mut ticks = tick_interval(tick);
    loop {
        tokio::select! {
            Some(event) = events_rx.recv() => state.lock().on_link_event(event),
            _ = ticks.tick() => state.lock().tick(),
        }
    }
}
