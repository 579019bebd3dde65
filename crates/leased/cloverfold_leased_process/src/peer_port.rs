//! How a leased process takes part in the traffic between processes, from its start on.
//!
//! A [`PeerPort`] is created first, so that the state can be built with the [`DialedPeers`] that it dials with. [`PeerPort::listen`]
//! binds the address, and [`ListeningPeerPort::run`] serves the links and drives the state. Owns the one channel on which all links of
//! the process report. Relies on `cloverfold_link` for the links.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_http::{ListenError, listen_at};
use cloverfold_link::{LinkEvent, accept_links};
use cloverfold_peer::{DialedPeers, PeerMessage};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Interval, MissedTickBehavior, interval};

use crate::shared::Shared;

/// Events that may wait for the state; links read no further while the channel is full.
const LINK_EVENTS: usize = 1_024;

/// A state that is driven by its links and by time.
pub trait LeasedState: Send + 'static {
    /// Begins to dial; called once, within the runtime, before anything else.
    fn on_start(&mut self);

    /// Handles an event of a link.
    fn on_link_event(&mut self, event: LinkEvent<PeerMessage>);

    /// Does what has fallen due.
    fn tick(&mut self);
}

/// The peer address of a process that does not listen yet.
#[derive(Debug)]
pub struct PeerPort {
    /// Where the others reach this process; it never dials this address.
    address: SocketAddr,
    listen_address: SocketAddr,
    events_tx: mpsc::Sender<LinkEvent<PeerMessage>>,
    events_rx: mpsc::Receiver<LinkEvent<PeerMessage>>,
}

impl PeerPort {
    /// Prepares to listen on one address while others dial `address`, which is the same unless a relay stands between.
    pub fn new(address: SocketAddr, listen_address: SocketAddr) -> Self {
        let (events_tx, events_rx) = mpsc::channel(LINK_EVENTS);
        Self {
            address,
            listen_address,
            events_tx,
            events_rx,
        }
    }

    /// Returns a set of dialed peers, empty at first, whose links report here.
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
            events_tx: self.events_tx,
            events_rx: self.events_rx,
        })
    }
}

/// The peer address of a process, bound; links are accepted from [`ListeningPeerPort::run`] on.
#[derive(Debug)]
pub struct ListeningPeerPort {
    listener: TcpListener,
    events_tx: mpsc::Sender<LinkEvent<PeerMessage>>,
    events_rx: mpsc::Receiver<LinkEvent<PeerMessage>>,
}

impl ListeningPeerPort {
    /// Accepts links, and drives the state by their events and every `tick`. The tasks end when `tasks` is dropped.
    pub fn run<S: LeasedState>(self, state: Shared<S>, tick: Duration, tasks: &mut JoinSet<()>) {
        let events_rx = self.accept(tasks);
        tasks.spawn(drive_state(state, tick, events_rx));
    }

    /// Accepts links and returns where all links report, for a process that drives its state by other events as well.
    pub fn accept(self, tasks: &mut JoinSet<()>) -> mpsc::Receiver<LinkEvent<PeerMessage>> {
        tasks.spawn(accept_links(self.listener, self.events_tx));
        self.events_rx
    }
}

/// Returns the ticks of a process. After a delay the next tick comes a whole interval later: a process that stood still has no missed
/// ticks to catch up with.
pub fn tick_interval(tick: Duration) -> Interval {
    let mut ticks = interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn drive_state<S: LeasedState>(
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
