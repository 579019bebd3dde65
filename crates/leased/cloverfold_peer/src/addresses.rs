//! Addresses that a process keeps links to.

use std::collections::HashMap;
use std::net::SocketAddr;

use cloverfold_link::{DialBackoff, Dialer, LinkEvent};
use tokio::sync::mpsc;

use crate::messages::PeerMessage;

/// One dialer for each address.
#[derive(Debug)]
pub struct DialedPeers {
    own: SocketAddr,
    events: mpsc::Sender<LinkEvent<PeerMessage>>,
    dialers: HashMap<SocketAddr, Dialer>,
}

impl DialedPeers {
    /// Begins without any; the process's own address is never dialed.
    pub fn new(own: SocketAddr, events: mpsc::Sender<LinkEvent<PeerMessage>>) -> Self {
        Self {
            own,
            events,
            dialers: HashMap::new(),
        }
    }

    /// Keeps a link to one more address.
    pub fn add(&mut self, address: SocketAddr) {
        if address != self.own && !self.dialers.contains_key(&address) {
            let dialer = Dialer::start(address, DialBackoff::default(), self.events.clone());
            self.dialers.insert(address, dialer);
        }
    }

    /// Keeps links to these addresses and no others.
    pub fn set(&mut self, addresses: &[SocketAddr]) {
        self.dialers
            .retain(|address, _| addresses.contains(address));
        for address in addresses {
            self.add(*address);
        }
    }
}

/// Control processes that are dialed at the most.
const MAX_CONTROLS: usize = 5;

/// Links to control processes: those that were named last, and seeds as far as there is place.
#[derive(Debug)]
pub struct ControlLinks {
    seeds: Vec<SocketAddr>,
    named: Vec<SocketAddr>,
    dialed: DialedPeers,
}

impl ControlLinks {
    /// Begins with the seeds; nothing is dialed before [`ControlLinks::dial`].
    pub fn new(seeds: Vec<SocketAddr>, dialed: DialedPeers) -> Self {
        Self {
            seeds,
            named: Vec::new(),
            dialed,
        }
    }

    /// Dials; must be called within a runtime.
    pub fn dial(&mut self) {
        let mut wanted = self.named.clone();
        wanted.truncate(MAX_CONTROLS);
        for seed in &self.seeds {
            if wanted.len() < MAX_CONTROLS && !wanted.contains(seed) {
                wanted.push(*seed);
            }
        }
        self.dialed.set(&wanted);
    }

    /// Takes the control processes that one of them has named.
    pub fn take_named(&mut self, named: Vec<SocketAddr>) {
        self.named = named;
        self.dial();
    }

    /// Replaces the seeds and dials; links to addresses that are still wanted stay open.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if seeds != self.seeds {
            log::info!("the seeds have changed");
        }
        self.seeds = seeds;
        self.dial();
    }
}
