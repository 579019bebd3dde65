//! The open links of one process, and the peer at the other end of each.
//!
//! Every process of a leased installation has one [`PeerLinks`], which holds the sender and the [`Hello`] of each link. The process
//! updates it from the events of `cloverfold_link`.

use std::collections::HashMap;
use std::net::SocketAddr;

use cloverfold_configuration::{ConfigurationDelta, StoredConfiguration, Version};
use cloverfold_evacuation::{EvacuatedHalls, EvacuationRevision};
use cloverfold_link::{EncodedMessage, LinkId, LinkSender};

use crate::messages::{Hello, PeerMessage, PeerRole};
use crate::sent_counts::{MessageKind, SentCounts};

/// A message that is encoded once and can be sent to many peers.
#[derive(Clone, Debug)]
pub struct SharedMessage {
    kind: MessageKind,
    encoded: EncodedMessage<PeerMessage>,
}

impl SharedMessage {
    /// Encodes a message; logs a failure and returns `None`.
    pub fn new(message: &PeerMessage) -> Option<Self> {
        Some(Self {
            kind: MessageKind::of(message),
            encoded: EncodedMessage::new(message)?,
        })
    }
}

/// An open link.
#[derive(Debug)]
struct PeerLink {
    sender: LinkSender<PeerMessage>,
    /// Whether this process opened the connection.
    is_dialed: bool,
    /// `None` until the peer has sent its [`Hello`].
    hello: Option<Hello>,
    /// Newest revision of the evacuated halls that the peer has sent; 0 before the first.
    evacuations: EvacuationRevision,
}

impl PeerLink {
    /// Returns whether the peer supports the message about evacuated halls and has not acknowledged these.
    fn needs_evacuations(&self, halls: &EvacuatedHalls) -> bool {
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
    /// Adds a link that has just opened, and sends `own_hello` to the peer.
    pub fn open(
        &mut self,
        link: LinkId,
        is_dialed: bool,
        sender: LinkSender<PeerMessage>,
        own_hello: &Hello,
    ) {
        // The result is ignored: a link that closes at once reports that with an event.
        self.queue(&sender, &PeerMessage::Hello(own_hello.clone()));
        let opened = PeerLink {
            sender,
            is_dialed,
            hello: None,
            evacuations: 0,
        };
        self.links.insert(link, opened);
    }

    /// Records the identity of the peer. Returns `false` if the link is closed already.
    pub fn record_hello(&mut self, link: LinkId, hello: Hello) -> bool {
        let Some(peer_link) = self.links.get_mut(&link) else {
            return false;
        };
        peer_link.hello = Some(hello);
        true
    }

    /// Records the configuration version that is now in force at a peer.
    pub fn record_version(&mut self, link: LinkId, version: Version) {
        let peer_link = self.links.get_mut(&link);
        if let Some(hello) = peer_link.and_then(|peer_link| peer_link.hello.as_mut()) {
            hello.version = version;
        }
    }

    /// Records a revision of the evacuated halls that a peer has sent.
    pub fn record_evacuations(&mut self, link: LinkId, revision: EvacuationRevision) {
        if let Some(peer_link) = self.links.get_mut(&link) {
            peer_link.evacuations = peer_link.evacuations.max(revision);
        }
    }

    /// Returns the newest revision of the evacuated halls that a peer has sent; 0 before the first.
    pub fn known_evacuations(&self, link: LinkId) -> EvacuationRevision {
        self.links
            .get(&link)
            .map_or(0, |peer_link| peer_link.evacuations)
    }

    /// Sends the evacuated halls to each peer that has a selected role, supports the message and has not acknowledged them. A peer whose
    /// queue is full misses them until the next change or connection; control processes also resend them at regular intervals.
    pub fn send_evacuations(&self, halls: &EvacuatedHalls, is_selected: impl Fn(PeerRole) -> bool) {
        let Some(message) = SharedMessage::new(&PeerMessage::Evacuations(halls.clone())) else {
            return;
        };
        for peer_link in self.links.values() {
            let has_selected_role = |hello: &Hello| is_selected(hello.role);
            if peer_link.needs_evacuations(halls)
                && peer_link.hello.as_ref().is_some_and(has_selected_role)
            {
                self.queue_shared(&peer_link.sender, &message);
            }
        }
    }

    /// Sends the evacuated halls to one peer, if it supports the message and has not acknowledged them.
    pub fn send_evacuations_to(&self, link: LinkId, halls: &EvacuatedHalls) {
        if self
            .links
            .get(&link)
            .is_some_and(|peer_link| peer_link.needs_evacuations(halls))
        {
            self.send(link, &PeerMessage::Evacuations(halls.clone()));
        }
    }

    /// Removes a link, which closes it if it is still open. Returns the identity of the peer; `None` if the link was removed before or the
    /// peer never sent its [`Hello`].
    pub fn close(&mut self, link: LinkId) -> Option<Hello> {
        let hello = self.links.remove(&link)?.hello?;
        log::info!(peer = hello.name.as_str(), link; "peer disconnected");
        Some(hello)
    }

    /// Returns the identity of the peer; `None` until it has sent its [`Hello`].
    pub fn hello(&self, link: LinkId) -> Option<&Hello> {
        self.links.get(&link)?.hello.as_ref()
    }

    /// Returns whether this process opened the connection; `false` for a closed link.
    pub fn is_dialed(&self, link: LinkId) -> bool {
        self.links
            .get(&link)
            .is_some_and(|peer_link| peer_link.is_dialed)
    }

    /// Returns the link that this process opened to the peer that listens on an address, if there is one.
    pub fn find_dialed(&self, address: SocketAddr) -> Option<LinkId> {
        let matches_address = |peer_link: &PeerLink| {
            let hello = peer_link.hello.as_ref();
            peer_link.is_dialed && hello.is_some_and(|hello| hello.address == address)
        };
        let mut links = self.links.iter();
        links
            .find(|(_, peer_link)| matches_address(peer_link))
            .map(|(link, _)| *link)
    }

    /// Returns all links whose peer has sent its [`Hello`], in arbitrary order.
    pub fn identified(&self) -> impl Iterator<Item = (LinkId, &Hello)> {
        let links = self.links.iter();
        links.filter_map(|(link, peer_link)| Some((*link, peer_link.hello.as_ref()?)))
    }

    /// Returns all peers that have sent their [`Hello`], in arbitrary order. A peer with two links is returned twice.
    pub fn peers(&self) -> impl Iterator<Item = &Hello> {
        self.identified().map(|(_, hello)| hello)
    }

    /// Returns the peers that this process has dialed and that have sent their [`Hello`], in arbitrary order.
    pub fn dialed_peers(&self) -> impl Iterator<Item = &Hello> {
        let dialed = self.links.values().filter(|peer_link| peer_link.is_dialed);
        dialed.filter_map(|peer_link| peer_link.hello.as_ref())
    }

    /// Queues a message. Returns `false` if the link is closed or its queue is full.
    pub fn send(&self, link: LinkId, message: &PeerMessage) -> bool {
        self.links
            .get(&link)
            .is_some_and(|peer_link| self.queue(&peer_link.sender, message))
    }

    /// Queues an encoded message. Returns `false` if the link is closed or its queue is full.
    pub fn send_shared(&self, link: LinkId, message: &SharedMessage) -> bool {
        self.links
            .get(&link)
            .is_some_and(|peer_link| self.queue_shared(&peer_link.sender, message))
    }

    /// Requests the configuration of a peer; `known` is the version in force here, 0 if there is none. Does not report a closed link:
    /// callers retry.
    pub fn fetch_configuration(&self, link: LinkId, known: Version) {
        let supports_deltas = self
            .hello(link)
            .is_some_and(Hello::supports_configuration_deltas);
        let message = if known > 0 && supports_deltas {
            PeerMessage::FetchSince { known }
        } else {
            PeerMessage::Fetch
        };
        self.send(link, &message);
    }

    /// Applies a delta from a peer to `base`, the configuration in force here, and returns the result; `None` if the delta is not newer. If
    /// the delta does not apply to `base`, requests the whole configuration from the peer.
    pub fn apply_delta(
        &self,
        link: LinkId,
        delta: &ConfigurationDelta,
        base: Option<&StoredConfiguration>,
    ) -> Option<StoredConfiguration> {
        let in_force = base.map_or(0, |base| base.version);
        if delta.version <= in_force {
            return None;
        }
        let configuration = base.and_then(|base| delta.apply(base));
        if configuration.is_none() {
            log::info!(version = delta.version, base = delta.base, in_force, link; "configuration delta does not apply; fetching all");
            self.send(link, &PeerMessage::Fetch);
        }
        configuration
    }

    /// Queues a message to each peer that has a selected role. A link whose queue is full drops the message, so use this for messages that
    /// are resent at regular intervals or on request.
    pub fn send_to_roles(&self, is_selected: impl Fn(PeerRole) -> bool, message: &PeerMessage) {
        let Some(message) = SharedMessage::new(message) else {
            return;
        };
        for peer_link in self.links.values() {
            if peer_link
                .hello
                .as_ref()
                .is_some_and(|hello| is_selected(hello.role))
            {
                self.queue_shared(&peer_link.sender, &message);
            }
        }
    }

    /// Queues a message on every link, even if the peer has not sent its [`Hello`] yet. A link whose queue is full drops the message.
    pub fn send_to_all(&self, message: &PeerMessage) {
        let Some(message) = SharedMessage::new(message) else {
            return;
        };
        for peer_link in self.links.values() {
            self.queue_shared(&peer_link.sender, &message);
        }
    }

    /// Returns the counters of messages sent on all links since the start.
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
