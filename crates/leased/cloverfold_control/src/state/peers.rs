//! Links to the other processes and dispatch of their messages.

use cloverfold_configuration::Version;
use cloverfold_consensus::{Member, ReplicaId};
use cloverfold_lease::RunnerMessage;
use cloverfold_link::{LinkEvent, LinkId};
use cloverfold_peer::{Hello, PeerMessage, PeerRole};

use super::ControlState;

impl ControlState {
    pub(crate) fn handle_link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.update_own_hello();
                self.links.open(link, dialed, sender, &self.own);
            }
            LinkEvent::Received { link, message } => self.handle_message(link, message),
            LinkEvent::Closed { link } => self.handle_link_closed(link),
        }
        self.advance();
    }

    fn update_own_hello(&mut self) {
        self.own.version = self.current_version();
        self.own.role = PeerRole::Control {
            replica: self.replica_id,
            has_empty_log: self.host.replica.status().last_index == 0,
        };
    }

    fn handle_message(&mut self, link: LinkId, message: PeerMessage) {
        match message {
            PeerMessage::Hello(hello) => self.peer_connected(link, hello),
            PeerMessage::Fetch => self.send_configuration(link),
            PeerMessage::FetchSince { known } => self.send_delta(link, known),
            PeerMessage::Consensus(message) => {
                if let Some(from) = self.replica_at(link) {
                    self.host.replica.receive(from, message, self.clock.now());
                }
            }
            PeerMessage::Proposal(proposal) => self.handle_proposal(&proposal),
            PeerMessage::Read { token } => self.start_peer_read(link, token),
            PeerMessage::ReadReply { token, index } => self.finish_read(token, index),
            PeerMessage::VersionNotice { version, .. } => self.links.record_version(link, version),
            PeerMessage::EvacuationOrder(order) => self.handle_order(&order),
            PeerMessage::Evacuations(known) => {
                self.links.record_evacuations(link, known.revision);
            }
            PeerMessage::JobCall(call) => self.handle_job_call(link, call),
            PeerMessage::JobReply(reply) => self.handle_job_reply(link, reply),
            PeerMessage::JobConsensus { group, message } => {
                self.handle_job_consensus(link, group, message);
            }
            PeerMessage::UpkeepCommand(command) => self.handle_upkeep_command(&command),
            PeerMessage::ToDispatcher(RunnerMessage::Target(Some(target))) => {
                self.record_target(link, &target);
            }
            PeerMessage::ToDispatcher(RunnerMessage::FreeCapacity(free)) => {
                self.record_load(link, &free);
            }
            PeerMessage::TargetNeeds(needs) => self.receive_target_needs(link, needs),
            // These messages are addressed to entries and guards.
            PeerMessage::ToRunner(_)
            | PeerMessage::ToDispatcher(_)
            | PeerMessage::Configuration(_)
            | PeerMessage::ConfigurationChange(_)
            | PeerMessage::Directory(_)
            | PeerMessage::Invite { .. }
            | PeerMessage::DialControls(_)
            | PeerMessage::JobGroups(_)
            | PeerMessage::HoldTarget(_)
            | PeerMessage::RememberedSpeed(_)
            | PeerMessage::Goodbye => {}
        }
    }

    fn send_configuration(&self, link: LinkId) {
        if let Some(message) = &self.shared_configuration {
            // A process whose link is closed fetches from another control process.
            self.links.send_shared(link, message);
        }
    }

    /// Sends the delta from the version that a process has, or the whole configuration.
    fn send_delta(&mut self, link: LinkId, known: Version) {
        match self.recent_configurations.delta_since(known) {
            Some(change) => {
                let message = PeerMessage::ConfigurationChange(change.clone());
                self.links.send(link, &message);
            }
            None => self.send_configuration(link),
        }
    }

    pub(super) fn replica_at(&self, link: LinkId) -> Option<ReplicaId> {
        match self.links.hello(link)?.role {
            PeerRole::Control { replica, .. } => Some(replica),
            PeerRole::Entry | PeerRole::Guard => None,
        }
    }

    fn peer_connected(&mut self, link: LinkId, hello: Hello) {
        let (name, role, address) = (hello.name.clone(), hello.role, hello.address);
        let hall = hello.data_hall().cloned();
        if !self.links.record_hello(link, hello) {
            return;
        }
        log::info!(peer = name.as_str(), address = address.to_string().as_str(), link; "peer connected");
        match role {
            PeerRole::Control { replica, .. } => {
                let id = replica;
                self.control_connected(link, Member { id, address });
            }
            PeerRole::Entry => {
                let is_new = self.entries.connected(address);
                self.entry_or_guard_connected(link, is_new);
            }
            PeerRole::Guard => {
                let is_new = self.guards.connected(address);
                if let Some(hall) = hall {
                    self.halls.insert(address, hall);
                }
                self.entry_or_guard_connected(link, is_new);
            }
        }
    }

    /// Initializes a newly connected entry or guard. One that was unknown before changes the directories of others.
    fn entry_or_guard_connected(&mut self, link: LinkId, is_new: bool) {
        if is_new {
            self.directories.mark_outdated(self.clock.now());
        }
        self.directories.mark_pending(link);
        self.send_initial_state(link);
    }

    fn control_connected(&mut self, link: LinkId, member: Member) {
        if self.known_controls.insert(member.address) {
            self.directories.mark_outdated(self.clock.now());
        }
        self.dialed.add(member.address);
        if self.links.is_dialed(link) {
            self.replica_links.insert(member.id, link);
            self.host.replica.link_reopened(member.id);
            self.job_replica_connected(link, &member);
            self.host.replica.add_learner(member);
        }
    }

    fn handle_link_closed(&mut self, link: LinkId) {
        let now = self.clock.now();
        self.directories.discard(link);
        self.jobs.discard_link(link);
        let Some(hello) = self.links.close(link) else {
            return;
        };
        match hello.role {
            PeerRole::Control { replica, .. } => {
                // A newer link to the same replica may have replaced this one.
                if self.replica_links.get(&replica) == Some(&link) {
                    self.replica_links.remove(&replica);
                    self.host.replica.remove_learner(replica);
                    self.job_replica_disconnected(replica);
                }
            }
            PeerRole::Entry => {
                self.entries.disconnected(hello.address, now);
                if self.entry_needs.discard(link) {
                    self.directories.mark_outdated(now);
                }
            }
            PeerRole::Guard => {
                self.guards.disconnected(hello.address, now);
                self.update_needed_targets();
            }
        }
    }

    /// Returns the leader if it is another replica.
    pub(super) fn find_other_leader(&self) -> Option<ReplicaId> {
        let leader = self.host.replica.status().leader;
        leader.filter(|&id| id != self.replica_id)
    }

    /// Queues a message to another replica. Returns `false` if the replica is not connected or its queue is full.
    pub(super) fn send_to_replica(&self, replica: ReplicaId, message: &PeerMessage) -> bool {
        let link = self.replica_links.get(&replica);
        link.is_some_and(|link| self.links.send(*link, message))
    }
}
