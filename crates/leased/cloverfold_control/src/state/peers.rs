//! Links: who is at their other ends, and what everybody is told.

use std::net::SocketAddr;

use cloverfold_consensus::{Member, ReplicaId, Role};
use cloverfold_link::{LinkEvent, LinkId};
use cloverfold_peer::{Directory, Hello, PeerMessage, PeerRole};

use super::{ControlState, KnownEntry, Link};

impl ControlState {
    /// Takes an event of a link.
    pub(crate) fn link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.own.version = self.state.version();
                self.own.role = self.own_role();
                sender.send(&PeerMessage::Hello(self.own.clone()));
                let hello = None;
                self.links.insert(
                    link,
                    Link {
                        sender,
                        dialed,
                        hello,
                    },
                );
            }
            LinkEvent::Received { link, message } => self.receive(link, message),
            LinkEvent::Closed { link } => self.link_closed(link),
        }
        self.advance();
    }

    pub(super) fn own_role(&self) -> PeerRole {
        PeerRole::Control {
            replica: self.replica_id,
            has_empty_log: self.replica.status().last_index == 0,
        }
    }

    pub(super) fn receive(&mut self, link: LinkId, message: PeerMessage) {
        let now = self.clock.now().since_start();
        match message {
            PeerMessage::Hello(hello) => self.greet(link, hello),
            PeerMessage::Fetch => {
                if let Some(held) = self.state.current().cloned() {
                    self.send(link, &PeerMessage::Configuration(held));
                }
            }
            PeerMessage::Consensus(message) => {
                if let Some(from) = self.replica_at(link) {
                    self.replica.receive(from, message, now);
                }
            }
            PeerMessage::Proposal(proposal) => {
                if self.replica.status().role == Role::Leader {
                    self.submit_proposal(&proposal);
                }
            }
            PeerMessage::Read { token } => {
                let own = self.take_token();
                self.peer_reads.insert(own, (link, token));
                self.replica.begin_read(own, now);
            }
            PeerMessage::ReadReply { token, index } => self.finish_read(token, index),
            PeerMessage::VersionNotice { version, .. } => {
                let held = self
                    .links
                    .get_mut(&link)
                    .and_then(|held| held.hello.as_mut());
                if let Some(hello) = held {
                    hello.version = version;
                }
            }
            PeerMessage::ToRunner(_)
            | PeerMessage::ToDispatcher(_)
            | PeerMessage::Configuration(_)
            | PeerMessage::Directory(_)
            | PeerMessage::Invite { .. } => {}
        }
    }

    pub(super) fn replica_at(&self, link: LinkId) -> Option<ReplicaId> {
        match self.links.get(&link)?.hello.as_ref()?.role {
            PeerRole::Control { replica, .. } => Some(replica),
            _ => None,
        }
    }

    pub(super) fn greet(&mut self, link: LinkId, hello: Hello) {
        let Some(held) = self.links.get_mut(&link) else {
            return;
        };
        let dialed = held.dialed;
        let (role, address) = (hello.role, hello.address);
        log::info!(peer = hello.name.as_str(), address = address.to_string().as_str(), link; "a peer is in touch");
        held.hello = Some(hello);
        match role {
            PeerRole::Control { replica, .. } => {
                if self.controls.insert(address) {
                    self.send_directory();
                }
                self.dialed.add(address);
                if dialed {
                    self.replica_links.insert(replica, link);
                    self.replica.link_reopened(replica);
                    self.replica.add_learner(Member {
                        id: replica,
                        address,
                    });
                }
            }
            PeerRole::Entry => {
                let entry = self.entries.entry(address).or_insert(KnownEntry {
                    links: 0,
                    gone_at: None,
                });
                entry.links += 1;
                entry.gone_at = None;
                self.send_directory();
            }
            PeerRole::Guard => {}
        }
        if !matches!(role, PeerRole::Control { .. }) {
            self.send_notice_to(link);
            self.send(link, &PeerMessage::Directory(self.directory()));
        }
    }

    pub(super) fn link_closed(&mut self, link: LinkId) {
        let Some(held) = self.links.remove(&link) else {
            return;
        };
        let now = self.clock.now().since_start();
        let Some(hello) = held.hello else {
            return;
        };
        log::info!(peer = hello.name.as_str(), link; "a peer is out of touch");
        match hello.role {
            PeerRole::Control { replica, .. }
                if self.replica_links.get(&replica) == Some(&link) =>
            {
                self.replica_links.remove(&replica);
                self.replica.remove_learner(replica);
            }
            PeerRole::Entry => {
                if let Some(entry) = self.entries.get_mut(&hello.address) {
                    entry.links = entry.links.saturating_sub(1);
                    if entry.links == 0 {
                        entry.gone_at = Some(now);
                    }
                }
            }
            PeerRole::Control { .. } | PeerRole::Guard => {}
        }
    }

    pub(super) fn directory(&self) -> Directory {
        Directory {
            entries: self.entries.keys().copied().collect(),
            controls: self.list_controls(),
        }
    }

    /// Lists the voters first, then whoever else keeps the log, then the seeds.
    pub(super) fn list_controls(&self) -> Vec<SocketAddr> {
        let mut controls: Vec<SocketAddr> = Vec::new();
        let voters = self
            .replica
            .members()
            .voters
            .iter()
            .map(|member| member.address);
        let linked = self.links.values().filter_map(|link| link.hello.as_ref());
        let linked = linked.filter(|hello| matches!(hello.role, PeerRole::Control { .. }));
        let linked = linked.map(|hello| hello.address);
        let own = std::iter::once(self.own.address);
        for address in voters.chain(own).chain(linked) {
            if !controls.contains(&address) {
                controls.push(address);
            }
        }
        controls
    }

    pub(super) fn send(&self, link: LinkId, message: &PeerMessage) -> bool {
        self.links
            .get(&link)
            .is_some_and(|link| link.sender.send(message))
    }

    pub(super) fn send_to_replica(&self, replica: ReplicaId, message: &PeerMessage) -> bool {
        let link = self.replica_links.get(&replica);
        link.is_some_and(|link| self.send(*link, message))
    }

    pub(super) fn send_to_attached(&self, message: &PeerMessage) {
        for link in self.links.values() {
            let role = link.hello.as_ref().map(|hello| hello.role);
            if matches!(role, Some(PeerRole::Entry | PeerRole::Guard)) {
                link.sender.send(message);
            }
        }
    }

    pub(super) fn send_directory(&self) {
        self.send_to_attached(&PeerMessage::Directory(self.directory()));
    }

    pub(super) fn notice(&self) -> PeerMessage {
        PeerMessage::VersionNotice {
            version: self.state.version(),
            has_quorum: self.is_fresh(),
        }
    }

    pub(super) fn send_notice_to(&self, link: LinkId) {
        self.send(link, &self.notice());
    }

    pub(super) fn send_notice(&mut self) {
        self.noticed_at = self.clock.now().since_start();
        self.is_told_fresh = self.is_fresh();
        self.send_to_attached(&self.notice());
    }
}
