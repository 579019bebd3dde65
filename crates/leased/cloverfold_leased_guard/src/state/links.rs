//! The guard's peers: who is connected, what they announce, and whom the guard dials.
//!
//! Handles the events of links: passes entries' messages to the runner, and plans fetches of newer configurations. Changes the links, sessions
//! and addresses of [`GuardState`] and owns no state besides. Relies on `cloverfold_link` for links and on control processes for the directory.

use cloverfold_configuration::{StoredConfiguration, Version};
use cloverfold_link::{LinkEvent, LinkId};
use cloverfold_peer::{Directory, Hello, PeerMessage, PeerRole};

use super::GuardState;

impl GuardState {
    pub(super) fn handle_link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.own.version = self.configuration.version();
                self.links.open(link, dialed, sender, &self.own);
            }
            LinkEvent::Received { link, message } => self.receive(link, message),
            LinkEvent::Closed { link } => self.close_link(link),
        }
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hello(hello) => self.receive_hello(link, hello),
            PeerMessage::ToRunner(message) => self.runner.receive(link, message, now),
            PeerMessage::VersionNotice { version, .. } => self.plan_fetch(link, version),
            PeerMessage::Fetch => self.send_configuration(link),
            PeerMessage::Configuration(stored) => self.receive_configuration(stored),
            PeerMessage::Directory(directory) => self.receive_directory(directory),
            PeerMessage::Invite { entry } => self.entries.add(entry),
            // Never sent to a guard.
            PeerMessage::ToDispatcher(_)
            | PeerMessage::Consensus(_)
            | PeerMessage::Proposal(_)
            | PeerMessage::Read { .. }
            | PeerMessage::ReadReply { .. } => {}
        }
    }

    fn receive_hello(&mut self, link: LinkId, hello: Hello) {
        let now = self.clock.now();
        let version = hello.version;
        log::info!(peer = hello.name.as_str(), link, version; "peer connected");
        if hello.role == PeerRole::Entry {
            self.runner.open_session(link, now);
        }
        self.links.record_hello(link, hello);
        self.plan_fetch(link, version);
    }

    /// Removes a link that has closed or is to be closed, and with it an entry's session.
    pub(super) fn close_link(&mut self, link: LinkId) {
        let now = self.clock.now();
        let Some(hello) = self.links.close(link) else {
            return;
        };
        if hello.role == PeerRole::Entry {
            self.runner.close_session(link, now);
        }
    }

    fn plan_fetch(&mut self, link: LinkId, version: Version) {
        let now = self.clock.now();
        self.configuration.plan_fetch(link, version, now);
    }

    fn send_configuration(&self, link: LinkId) {
        if let Some(stored) = self.configuration.stored().cloned() {
            self.links.send(link, &PeerMessage::Configuration(stored));
        }
    }

    fn receive_configuration(&mut self, stored: StoredConfiguration) {
        if self.configuration.replace(stored) {
            self.announce_version();
        }
    }

    fn announce_version(&self) {
        self.links.send_to_all(&PeerMessage::VersionNotice {
            version: self.configuration.version(),
            has_quorum: false,
        });
    }

    /// Dials the entries of a directory, and no others but those that are connected: entries that are gone for good are dialed no
    /// more.
    fn receive_directory(&mut self, directory: Directory) {
        let mut entries = directory.entries;
        let peers = self.links.peers();
        let connected = peers.filter(|peer| peer.role == PeerRole::Entry);
        entries.extend(connected.map(|peer| peer.address));
        self.entries.set(&entries);
        self.controls.set_listed(directory.controls);
    }
}
