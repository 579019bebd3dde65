//! The peers that a process dials, with one [`Dialer`] for each address.

use std::collections::HashMap;
use std::net::SocketAddr;

use cloverfold_link::{DialBackoff, Dialer, LinkEvent};
use tokio::sync::mpsc;

use crate::messages::PeerMessage;

/// A set of dialed peers, with one dialer for each address.
#[derive(Debug)]
pub struct DialedPeers {
    own_address: SocketAddr,
    events: mpsc::Sender<LinkEvent<PeerMessage>>,
    dialers: HashMap<SocketAddr, Dialer>,
}

impl DialedPeers {
    /// Creates an empty set whose links report to `events`. The set never dials `own_address`, the address of this process.
    pub fn new(own_address: SocketAddr, events: mpsc::Sender<LinkEvent<PeerMessage>>) -> Self {
        Self {
            own_address,
            events,
            dialers: HashMap::new(),
        }
    }

    /// Starts to dial an address unless it is dialed already, and keeps the link open.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn add(&mut self, address: SocketAddr) {
        if address != self.own_address && !self.dialers.contains_key(&address) {
            let dialer = Dialer::start(address, DialBackoff::default(), self.events.clone());
            self.dialers.insert(address, dialer);
        }
    }

    /// Stops dialing an address and closes its link.
    pub fn remove(&mut self, address: SocketAddr) {
        self.dialers.remove(&address);
    }

    /// Returns the dialed addresses in arbitrary order.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.dialers.keys().copied()
    }

    /// Replaces the set of dialed addresses; links to addresses that are not in the new set close.
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

/// Maximum number of control processes to dial; any of them can serve this process.
const MAX_CONTROLS: usize = 5;

/// Links to control processes: those in the newest directory first, then seeds, up to five in all.
#[derive(Debug)]
pub struct ControlLinks {
    seeds: Vec<SocketAddr>,
    directory_controls: Vec<SocketAddr>,
    dialed: DialedPeers,
}

impl ControlLinks {
    /// Creates the set with the seeds; it dials nothing before [`ControlLinks::dial`].
    pub fn new(seeds: Vec<SocketAddr>, dialed: DialedPeers) -> Self {
        Self {
            seeds,
            directory_controls: Vec::new(),
            dialed,
        }
    }

    /// Dials the selected control processes and stops dialing all others.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn dial(&mut self) {
        let mut selected = self.directory_controls.clone();
        selected.truncate(MAX_CONTROLS);
        for seed in &self.seeds {
            if selected.len() < MAX_CONTROLS && !selected.contains(seed) {
                selected.push(*seed);
            }
        }
        self.dialed.set(&selected);
    }

    /// Replaces the known control processes by those of a newer directory and dials them.
    pub fn set_controls(&mut self, controls: Vec<SocketAddr>) {
        self.directory_controls = controls;
        self.dial();
    }

    /// Dials the control processes listed in the invitation of a restarted one, unless this process has already received a directory,
    /// which is more recent.
    pub fn accept_invitation(&mut self, controls: Vec<SocketAddr>) {
        if self.directory_controls.is_empty() {
            log::info!(controls = controls.len(); "dialing control processes from an invitation");
            self.set_controls(controls);
        }
    }

    /// Replaces the seeds and dials; links to addresses that remain selected stay open.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        if seeds != self.seeds {
            log::info!("seed addresses changed");
        }
        self.seeds = seeds;
        self.dial();
    }
}
