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

    /// Says whether an address is dialed.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.dialers.contains_key(address)
    }
}
