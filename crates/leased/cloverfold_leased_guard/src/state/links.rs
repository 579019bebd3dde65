//! The guard's peers: who is connected, what they announce, and whom the guard dials.
//!
//! Handles the events of links: passes entries' messages to the runner, and plans fetches of newer configurations. Changes the links, sessions
//! and addresses of [`GuardState`] and owns no state besides. Relies on `cloverfold_link` for links and on control processes for the directory.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{ConfigurationDelta, StoredConfiguration, Version};
use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_lease::{RunnerMessage, TargetDescription};
use cloverfold_link::{LinkEvent, LinkId};
use cloverfold_peer::{Directory, Hello, LinkDrainStep, PeerMessage, PeerRole};
use cloverfold_upkeep::HeldTarget;

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
        let now = self.now();
        match message {
            PeerMessage::Hello(hello) => self.receive_hello(link, hello),
            PeerMessage::ToRunner(message) => self.runner.receive(link, message, now),
            PeerMessage::VersionNotice { version, .. } => self.plan_fetch(link, version),
            PeerMessage::Fetch | PeerMessage::FetchSince { .. } => self.send_configuration(link),
            PeerMessage::Configuration(stored) => self.receive_configuration(stored),
            PeerMessage::ConfigurationChange(change) => self.receive_change(link, &change),
            PeerMessage::Directory(directory) => self.receive_directory(link, directory),
            PeerMessage::DialControls(controls) => self.controls.accept_invitation(controls),
            PeerMessage::Evacuations(told) => self.receive_evacuations(link, told),
            PeerMessage::Invite { entry } => self.receive_invitation(entry),
            PeerMessage::HoldTarget(held) => self.receive_hold(link, &held, now),
            // Never sent to a guard.
            PeerMessage::Goodbye
            | PeerMessage::ToDispatcher(_)
            | PeerMessage::Consensus(_)
            | PeerMessage::Proposal(_)
            | PeerMessage::EvacuationOrder(_)
            | PeerMessage::Read { .. }
            | PeerMessage::ReadReply { .. }
            | PeerMessage::JobCall(_)
            | PeerMessage::JobConsensus { .. }
            | PeerMessage::UpkeepCommand(_) => {}
            PeerMessage::JobGroups(groups) => self.recorder.set_group_count(groups.count, now),
            PeerMessage::JobReply(reply) => self.recorder.receive(reply, now),
            // Not used yet.
            PeerMessage::RememberedSpeed(_) => {}
        }
    }

    /// Holds the target, and tells the control process what is free there.
    fn receive_hold(&mut self, link: LinkId, held: &HeldTarget, now: Timestamp) {
        let span = Duration::from_millis(held.for_ms.into());
        self.runner.hold_target(&held.incarnation, span, now);
        let incarnation = self.runner.target_incarnation_id();
        let is_meant = incarnation.is_some_and(|incarnation| incarnation.name == held.incarnation);
        if let Some(free) = self.runner.unreserved_capacity(now).filter(|_| is_meant) {
            let message = PeerMessage::ToDispatcher(RunnerMessage::FreeCapacity(free));
            self.links.send(link, &message);
        }
    }

    fn receive_hello(&mut self, link: LinkId, hello: Hello) {
        let now = self.now();
        let version = hello.version;
        log::info!(peer = hello.name.as_str(), link, version; "peer connected");
        let role = hello.role;
        self.links.record_hello(link, hello);
        self.evacuations.announce(&self.links);
        match role {
            PeerRole::Entry => self.runner.open_session(link, now),
            PeerRole::Control { .. } => self.tell_of_target(link),
            PeerRole::Guard => {}
        }
        self.plan_fetch(link, version);
    }

    /// Tells a control process of the target: the choice of this guard's entries depends on its service.
    fn tell_of_target(&self, link: LinkId) {
        if let Some(target) = self.runner.describe_target() {
            self.links.send(link, &target_message(target));
        }
    }

    /// Tells all control processes of the target when it is in another incarnation than they know, or of another service.
    pub(super) fn tell_new_target(&mut self) {
        let service = self.runner.service();
        let incarnation = self.runner.target_incarnation_id();
        let is_known = service == self.told_service.as_deref()
            && incarnation == self.told_incarnation.as_ref();
        if service.is_none() || is_known {
            return;
        }
        self.told_service = service.map(Into::into);
        self.told_incarnation = incarnation.cloned();
        if let Some(target) = self.runner.describe_target() {
            let is_control = |role| matches!(role, PeerRole::Control { .. });
            self.links
                .send_to_roles(is_control, &target_message(target));
        }
    }

    /// Removes a link that has closed or is to be closed, and with it an entry's session.
    pub(super) fn close_link(&mut self, link: LinkId) {
        let now = self.now();
        self.departures.forget(link);
        let Some(hello) = self.links.close(link) else {
            return;
        };
        match hello.role {
            PeerRole::Entry => self.runner.close_session(link, now),
            PeerRole::Control { .. } => self.chosen.remove_control(link),
            PeerRole::Guard => {}
        }
    }

    fn plan_fetch(&mut self, link: LinkId, version: Version) {
        let now = self.now();
        self.configuration.plan_fetch(link, version, now);
    }

    fn send_configuration(&self, link: LinkId) {
        if let Some(stored) = self.configuration.stored().cloned() {
            self.links.send(link, &PeerMessage::Configuration(stored));
        }
    }

    /// Keeps a configuration that was sent as a change.
    fn receive_change(&mut self, link: LinkId, change: &ConfigurationDelta) {
        let base = self.configuration.stored();
        if let Some(stored) = self.links.apply_delta(link, change, base) {
            self.receive_configuration(stored);
        }
    }

    fn receive_configuration(&mut self, stored: StoredConfiguration) {
        if self.configuration.replace(stored) {
            self.announce_version();
        }
    }

    /// Starts nothing more while this guard's data hall is among the evacuated ones that a peer tells of, if it knows more.
    fn receive_evacuations(&mut self, link: LinkId, told: EvacuatedHalls) {
        if !self.evacuations.receive(told, link, &mut self.links) {
            return;
        }
        let own_hall = self.own.data_hall();
        let is_evacuated = own_hall.is_some_and(|hall| self.evacuations.halls().contains(hall));
        let now = self.now();
        self.runner.set_evacuated(is_evacuated, now);
    }

    fn announce_version(&self) {
        self.links.send_to_all(&PeerMessage::VersionNotice {
            version: self.configuration.version(),
            has_quorum: false,
        });
    }

    /// Dials the entries that a control process names, and the control processes.
    fn receive_directory(&mut self, link: LinkId, directory: Directory) {
        self.chosen.set_entries(link, directory.entries);
        for entry in self.chosen.assigned() {
            self.entries.add(*entry);
        }
        self.controls.set_controls(directory.controls);
    }

    fn receive_invitation(&mut self, entry: SocketAddr) {
        if self.chosen.accepts_invitation(entry) {
            self.entries.add(entry);
        }
    }

    /// Leaves the entries that no control process names any more, step by step.
    pub(super) fn leave_unnamed_entries(&mut self, now: Timestamp) {
        let dialed: Vec<SocketAddr> = self.entries.addresses().collect();
        let entries = self.links.dialed_peers();
        let entries = entries.filter(|peer| peer.role == PeerRole::Entry);
        let connected = entries.map(|peer| peer.address).collect();
        let left = self
            .chosen
            .list_unneeded(dialed.iter().copied(), &connected, now);
        if left.is_empty() && self.departures.is_empty() {
            return;
        }
        for entry in dialed {
            let is_left = left.contains(&entry);
            match self.links.find_dialed(entry) {
                Some(link) => self.advance_departure(entry, link, is_left, now),
                None if is_left => self.entries.remove(entry),
                None => {}
            }
        }
    }

    /// Takes the next step of leaving an entry, if it is left.
    fn advance_departure(
        &mut self,
        entry: SocketAddr,
        link: LinkId,
        is_left: bool,
        now: Timestamp,
    ) {
        let has_runs = self.runner.count_session_runs(link) > 0;
        match self.departures.advance(link, is_left, has_runs, now) {
            LinkDrainStep::NoChange => {}
            LinkDrainStep::StopOffering => self.runner.retire_session(link, true),
            LinkDrainStep::ResumeOffering => self.runner.retire_session(link, false),
            LinkDrainStep::SendGoodbye => {
                log::info!(entry = entry.to_string().as_str(), link; "an entry is left");
                // One that misses it invites this guard for a while, which changes nothing.
                self.links.send(link, &PeerMessage::Goodbye);
            }
            LinkDrainStep::Close => self.entries.remove(entry),
        }
    }
}

/// The message that tells an entry of the target tells control processes as well.
fn target_message(target: TargetDescription) -> PeerMessage {
    PeerMessage::ToDispatcher(RunnerMessage::Target(Some(target)))
}
