//! The open links of one process, and the peer at the other end of each.
//!
//! Every process of a leased installation keeps one [`PeerLinks`]. It owns the senders of the links and the peers' introductions
//! ([`Hello`]); it decides nothing. Relies on `cloverfold_link`, which reports when a link opens, brings a message, or closes.

use std::collections::HashMap;
use std::net::SocketAddr;

use cloverfold_configuration::{ConfigurationDelta, StoredConfiguration, Version};
use cloverfold_evacuation::{EvacuatedHalls, EvacuationRevision};
use cloverfold_link::{EncodedMessage, LinkId, LinkSender};

use crate::messages::{Hello, PeerMessage, PeerRole};
use crate::sent_counts::{MessageKind, SentCounts};

/// A message that is encoded once, to be sent to many peers.
#[derive(Clone, Debug)]
pub struct SharedMessage {
    kind: MessageKind,
    encoded: EncodedMessage<PeerMessage>,
}

impl SharedMessage {
    /// Encodes a message; `None` if that is not possible, which is logged.
    pub fn new(message: &PeerMessage) -> Option<Self> {
        Some(Self {
            kind: MessageKind::of(message),
            encoded: EncodedMessage::new(message)?,
        })
    }
}

/// One open link.
#[derive(Debug)]
struct PeerLink {
    sender: LinkSender<PeerMessage>,
    /// Whether this process opened the connection.
    is_dialed: bool,
    /// `None` until the peer has introduced itself.
    hello: Option<Hello>,
    /// The newest revision of the evacuations that the peer has sent; 0 before the first.
    evacuations: EvacuationRevision,
}

impl PeerLink {
    /// Returns whether the peer can read the evacuated halls and has not shown to know them.
    fn lacks(&self, halls: &EvacuatedHalls) -> bool {
        let hello = self.hello.as_ref();
        hello.is_some_and(Hello::supports_evacuations) && self.evacuations < halls.revision
    }
}

/// All open links of a process.
#[derive(Debug, Default)]
pub struct PeerLinks {
    links: HashMap<LinkId, PeerLink>,
    sent: SentCounts,
}

impl PeerLinks {
    /// Adds a link that has just opened, and introduces this process to the peer with `own`.
    pub fn open(
        &mut self,
        link: LinkId,
        is_dialed: bool,
        sender: LinkSender<PeerMessage>,
        own: &Hello,
    ) {
        // A link that closes at once reports it with an event of its own.
        self.queue(&sender, &PeerMessage::Hello(own.clone()));
        let opened = PeerLink {
            sender,
            is_dialed,
            hello: None,
            evacuations: 0,
        };
        self.links.insert(link, opened);
    }

    /// Records who is at the other end. Returns `false` if the link is closed already.
    pub fn record_hello(&mut self, link: LinkId, hello: Hello) -> bool {
        let Some(open) = self.links.get_mut(&link) else {
            return false;
        };
        open.hello = Some(hello);
        true
    }

    /// Records the version of the configuration that is now in force at a peer.
    pub fn record_version(&mut self, link: LinkId, version: Version) {
        let open = self.links.get_mut(&link);
        if let Some(hello) = open.and_then(|open| open.hello.as_mut()) {
            hello.version = version;
        }
    }

    /// Records the revision of the evacuations that a peer knows.
    pub fn record_evacuations(&mut self, link: LinkId, revision: EvacuationRevision) {
        if let Some(open) = self.links.get_mut(&link) {
            open.evacuations = open.evacuations.max(revision);
        }
    }

    /// Returns the newest revision of the evacuations that a peer has sent; 0 before the first.
    pub fn known_evacuations(&self, link: LinkId) -> EvacuationRevision {
        self.links.get(&link).map_or(0, |open| open.evacuations)
    }

    /// Sends the evacuated halls to each peer whose role is selected, that can read them, and that has not shown to know them. One
    /// whose queue is full misses them: they are sent again with the next change or when it connects, by control processes also at
    /// regular intervals.
    pub fn send_evacuations(&self, halls: &EvacuatedHalls, is_selected: impl Fn(PeerRole) -> bool) {
        let Some(message) = SharedMessage::new(&PeerMessage::Evacuations(halls.clone())) else {
            return;
        };
        for open in self.links.values() {
            let is_meant = |hello: &Hello| is_selected(hello.role);
            if open.lacks(halls) && open.hello.as_ref().is_some_and(is_meant) {
                self.queue_shared(&open.sender, &message);
            }
        }
    }

    /// Sends the evacuated halls to one peer, if it can read them and has not shown to know them.
    pub fn send_evacuations_to(&self, link: LinkId, halls: &EvacuatedHalls) {
        if self.links.get(&link).is_some_and(|open| open.lacks(halls)) {
            self.send(link, &PeerMessage::Evacuations(halls.clone()));
        }
    }

    /// Removes a link, which closes it if it is still open. Returns who was at the other end; `None` if the link was removed before or
    /// the peer never introduced itself.
    pub fn close(&mut self, link: LinkId) -> Option<Hello> {
        let hello = self.links.remove(&link)?.hello?;
        log::info!(peer = hello.name.as_str(), link; "peer disconnected");
        Some(hello)
    }

    /// Returns who is at the other end of a link, once it has introduced itself.
    pub fn hello(&self, link: LinkId) -> Option<&Hello> {
        self.links.get(&link)?.hello.as_ref()
    }

    /// Returns whether this process opened the connection; `false` for a link that is closed.
    pub fn is_dialed(&self, link: LinkId) -> bool {
        self.links.get(&link).is_some_and(|open| open.is_dialed)
    }

    /// Returns the link that this process opened to the peer that listens at an address, if there is one.
    pub fn find_dialed(&self, address: SocketAddr) -> Option<LinkId> {
        let is_meant = |open: &PeerLink| {
            let hello = open.hello.as_ref();
            open.is_dialed && hello.is_some_and(|hello| hello.address == address)
        };
        let mut links = self.links.iter();
        links
            .find(|(_, open)| is_meant(open))
            .map(|(link, _)| *link)
    }

    /// Returns all links whose peer has introduced itself, with who that is, in no order.
    pub fn identified(&self) -> impl Iterator<Item = (LinkId, &Hello)> {
        let links = self.links.iter();
        links.filter_map(|(link, open)| Some((*link, open.hello.as_ref()?)))
    }

    /// Returns all peers that have introduced themselves, in no order. A peer with two links is returned twice.
    pub fn peers(&self) -> impl Iterator<Item = &Hello> {
        self.identified().map(|(_, hello)| hello)
    }

    /// Returns the peers that this process has dialed and that have introduced themselves, in no order.
    pub fn dialed_peers(&self) -> impl Iterator<Item = &Hello> {
        let dialed = self.links.values().filter(|open| open.is_dialed);
        dialed.filter_map(|open| open.hello.as_ref())
    }

    /// Queues a message. Returns `false` if the link is closed or its queue is full.
    pub fn send(&self, link: LinkId, message: &PeerMessage) -> bool {
        self.links
            .get(&link)
            .is_some_and(|open| self.queue(&open.sender, message))
    }

    /// Queues a message that is encoded already. Returns `false` if the link is closed or its queue is full.
    pub fn send_shared(&self, link: LinkId, message: &SharedMessage) -> bool {
        self.links
            .get(&link)
            .is_some_and(|open| self.queue_shared(&open.sender, message))
    }

    /// Asks a peer for its configuration; `known` is the version in force here, 0 before the first. A closed link is not noticed: whoever
    /// asks, asks again.
    pub fn fetch_configuration(&self, link: LinkId, known: Version) {
        let tells_changes = self
            .hello(link)
            .is_some_and(Hello::supports_configuration_changes);
        let message = if known > 0 && tells_changes {
            PeerMessage::FetchSince { known }
        } else {
            PeerMessage::Fetch
        };
        self.send(link, &message);
    }

    /// Returns the configuration that a peer has sent as a change; `base` is the one in force here. One that is not newer is left out. Where
    /// the change does not fit, the peer is asked for the whole configuration.
    pub fn apply_change(
        &self,
        link: LinkId,
        change: &ConfigurationDelta,
        base: Option<&StoredConfiguration>,
    ) -> Option<StoredConfiguration> {
        let in_force = base.map_or(0, |base| base.version);
        if change.version <= in_force {
            return None;
        }
        let changed = base.and_then(|base| change.apply(base));
        if changed.is_none() {
            log::info!(version = change.version, base = change.base, in_force, link; "a change of the configuration does not fit");
            self.send(link, &PeerMessage::Fetch);
        }
        changed
    }

    /// Queues a message to each peer whose role is selected. A link whose queue is full misses it: what is sent this way is sent again
    /// at regular intervals or asked for.
    pub fn send_to_roles(&self, is_selected: impl Fn(PeerRole) -> bool, message: &PeerMessage) {
        let Some(message) = SharedMessage::new(message) else {
            return;
        };
        for open in self.links.values() {
            if open
                .hello
                .as_ref()
                .is_some_and(|hello| is_selected(hello.role))
            {
                self.queue_shared(&open.sender, &message);
            }
        }
    }

    /// Queues a message on every link, also where the peer has not introduced itself yet. A link whose queue is full misses it.
    pub fn send_to_all(&self, message: &PeerMessage) {
        let Some(message) = SharedMessage::new(message) else {
            return;
        };
        for open in self.links.values() {
            self.queue_shared(&open.sender, &message);
        }
    }

    /// Returns what was sent on all links since the start.
    pub fn sent(&self) -> &SentCounts {
        &self.sent
    }

    /// Queues a message and counts it; returns whether it was queued.
    fn queue(&self, sender: &LinkSender<PeerMessage>, message: &PeerMessage) -> bool {
        SharedMessage::new(message).is_some_and(|message| self.queue_shared(sender, &message))
    }

    fn queue_shared(&self, sender: &LinkSender<PeerMessage>, message: &SharedMessage) -> bool {
        let is_queued = sender.send_encoded(&message.encoded);
        if is_queued {
            self.sent.record(message.kind, message.encoded.frame_len());
        }
        is_queued
    }
}
