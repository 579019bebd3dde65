//! Addresses that a process keeps links to.
//!
//! Owns one dialer for each address, and for entries and guards which control processes they dial. Relies on `cloverfold_link` to dial
//! and to dial again.

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
    /// Creates an empty set whose links report to `events`. The process's own address is never dialed.
    pub fn new(own: SocketAddr, events: mpsc::Sender<LinkEvent<PeerMessage>>) -> Self {
        Self {
            own,
            events,
            dialers: HashMap::new(),
        }
    }

    /// Keeps a link to one more address.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn add(&mut self, address: SocketAddr) {
        if address != self.own && !self.dialers.contains_key(&address) {
            let dialer = Dialer::start(address, DialBackoff::default(), self.events.clone());
            self.dialers.insert(address, dialer);
        }
    }

    /// Keeps a link to an address no longer: an open one closes.
    pub fn remove(&mut self, address: SocketAddr) {
        self.dialers.remove(&address);
    }

    /// Returns the addresses that links are kept to, in no order.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.dialers.keys().copied()
    }

    /// Keeps links to these addresses and no others: other links close.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn set(&mut self, addresses: &[SocketAddr]) {
        self.dialers
            .retain(|address, _| addresses.contains(address));
        for address in addresses {
            self.add(*address);
        }
    }
}

/// Control processes that are dialed at the most. Chosen, not measured: any of them will do.
const MAX_CONTROLS: usize = 5;

/// Links to control processes: to those in the newest directory, then to seeds, up to five in all.
#[derive(Debug)]
pub struct ControlLinks {
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    dialed: DialedPeers,
}

impl ControlLinks {
    /// Starts with the seeds; nothing is dialed before [`ControlLinks::dial`].
    pub fn new(seeds: Vec<SocketAddr>, dialed: DialedPeers) -> Self {
        Self {
            seeds,
            listed: Vec::new(),
            dialed,
        }
    }

    /// Dials the control processes that are wanted, and no others.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn dial(&mut self) {
        let mut wanted = self.listed.clone();
        wanted.truncate(MAX_CONTROLS);
        for seed in &self.seeds {
            if wanted.len() < MAX_CONTROLS && !wanted.contains(seed) {
                wanted.push(*seed);
            }
        }
        self.dialed.set(&wanted);
    }

    /// Replaces the control processes by those of a newer directory, and dials them.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.listed = controls;
        self.dial();
    }

    /// Dials the control processes that one of them names after its restart, unless a directory has come since this process started:
    /// that names them better.
    pub fn accept_invitation(&mut self, controls: Vec<SocketAddr>) {
        if self.listed.is_empty() {
            log::info!(controls = controls.len(); "a control process invites");
            self.set_controls(controls);
        }
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
