//! Link events of a guard: passes messages from entries to the runner, schedules fetches of newer configurations, and selects which
//! entries to dial.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{ConfigurationDelta, StoredConfiguration, Version};
use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_lease::{RunnerMessage, TargetDescription};
use cloverfold_link::{LinkEvent, LinkId};
use cloverfold_peer::{Directory, Hello, LinkDrainStep, PeerMessage, PeerRole};
use cloverfold_upkeep::TargetHold;

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
                self.own_hello.version = self.configuration.version();
                self.links.open(link, dialed, sender, &self.own_hello);
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
            PeerMessage::VersionNotice { version, .. } => self.schedule_fetch(link, version),
            PeerMessage::Fetch | PeerMessage::FetchSince { .. } => self.send_configuration(link),
            PeerMessage::Configuration(stored) => self.receive_configuration(stored),
            PeerMessage::ConfigurationChange(delta) => self.receive_delta(link, &delta),
            PeerMessage::Directory(directory) => self.receive_directory(link, directory),
            PeerMessage::DialControls(controls) => self.controls.accept_invitation(controls),
            PeerMessage::Evacuations(halls) => self.receive_evacuations(link, halls),
            PeerMessage::Invite { entry } => self.receive_invitation(entry),
            PeerMessage::HoldTarget(hold) => self.receive_hold(link, &hold, now),
            // These messages are never sent to a guard.
            PeerMessage::Goodbye
            | PeerMessage::ToDispatcher(_)
            | PeerMessage::Consensus(_)
            | PeerMessage::Proposal(_)
            | PeerMessage::EvacuationOrder(_)
            | PeerMessage::Read { .. }
            | PeerMessage::ReadReply { .. }
            | PeerMessage::JobCall(_)
            | PeerMessage::JobConsensus { .. }
            | PeerMessage::TargetNeeds(_)
            | PeerMessage::UpkeepCommand(_) => {}
            PeerMessage::JobGroups(groups) => self.recorder.set_group_count(groups.count, now),
            PeerMessage::JobReply(reply) => self.recorder.receive(reply, now),
            // Ignored: guards do not use it yet.
            PeerMessage::RememberedSpeed(_) => {}
        }
    }

    /// Drains the target for upkeep, and reports its free capacity to the control process.
    fn receive_hold(&mut self, link: LinkId, hold: &TargetHold, now: Timestamp) {
        let duration = Duration::from_millis(hold.for_ms.into());
        self.runner.hold_target(&hold.incarnation, duration, now);
        let incarnation = self.runner.target_incarnation_id();
        let is_current =
            incarnation.is_some_and(|incarnation| incarnation.name == hold.incarnation);
        if let Some(free) = self.runner.unreserved_capacity(now).filter(|_| is_current) {
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
            PeerRole::Control { .. } => self.announce_target_to(link),
            PeerRole::Guard => {}
        }
        self.schedule_fetch(link, version);
    }

    /// Sends the description of the target to a control process, which assigns the entries of this guard by its service.
    fn announce_target_to(&self, link: LinkId) {
        if let Some(target) = self.runner.describe_target() {
            self.links.send(link, &target_message(target));
        }
    }

    /// Sends the description of the target to all control processes if its incarnation or service differs from the last announcement.
    pub(super) fn announce_target_change(&mut self) {
        let service = self.runner.service();
        let incarnation = self.runner.target_incarnation_id();
        let is_known = service == self.announced_service.as_deref()
            && incarnation == self.announced_incarnation.as_ref();
        if service.is_none() || is_known {
            return;
        }
        self.announced_service = service.map(Into::into);
        self.announced_incarnation = incarnation.cloned();
        if let Some(target) = self.runner.describe_target() {
            let is_control = |role| matches!(role, PeerRole::Control { .. });
            self.links
                .send_to_roles(is_control, &target_message(target));
        }
    }

    /// Removes a link, which closes it if it is still open, and ends the session of an entry.
    pub(super) fn close_link(&mut self, link: LinkId) {
        let now = self.now();
        self.link_drains.discard(link);
        let Some(hello) = self.links.close(link) else {
            return;
        };
        match hello.role {
            PeerRole::Entry => self.runner.close_session(link, now),
            PeerRole::Control { .. } => self.assigned_entries.remove_control(link),
            PeerRole::Guard => {}
        }
    }

    fn schedule_fetch(&mut self, link: LinkId, version: Version) {
        let now = self.now();
        self.configuration.schedule_fetch(link, version, now);
    }

    fn send_configuration(&self, link: LinkId) {
        if let Some(stored) = self.configuration.stored().cloned() {
            self.links.send(link, &PeerMessage::Configuration(stored));
        }
    }

    /// Applies a configuration that was sent as a delta.
    fn receive_delta(&mut self, link: LinkId, delta: &ConfigurationDelta) {
        let base = self.configuration.stored();
        if let Some(stored) = self.links.apply_delta(link, delta, base) {
            self.receive_configuration(stored);
        }
    }

    fn receive_configuration(&mut self, stored: StoredConfiguration) {
        if self.configuration.replace(stored) {
            self.announce_version();
        }
    }

    /// Adopts newer evacuated halls from a peer; the runner starts nothing while the data hall of this guard is evacuated.
    fn receive_evacuations(&mut self, link: LinkId, halls: EvacuatedHalls) {
        if !self.evacuations.receive(halls, link, &mut self.links) {
            return;
        }
        let own_hall = self.own_hello.data_hall();
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

    /// Dials the entries that a control process assigns, and the control processes.
    fn receive_directory(&mut self, link: LinkId, directory: Directory) {
        self.assigned_entries
            .set_assignment(link, directory.entries);
        for entry in self.assigned_entries.entries() {
            self.dialed_entries.add(*entry);
        }
        self.controls.set_controls(directory.controls);
    }

    fn receive_invitation(&mut self, entry: SocketAddr) {
        if self.assigned_entries.accepts_invitation(entry) {
            self.dialed_entries.add(entry);
        }
    }

    /// Drains and closes the links to entries that no control process assigns any more.
    pub(super) fn drain_unassigned_entries(&mut self, now: Timestamp) {
        let dialed: Vec<SocketAddr> = self.dialed_entries.addresses().collect();
        let entries = self.links.dialed_peers();
        let entries = entries.filter(|peer| peer.role == PeerRole::Entry);
        let connected = entries.map(|peer| peer.address).collect();
        let dropped =
            self.assigned_entries
                .find_entries_to_drop(dialed.iter().copied(), &connected, now);
        if dropped.is_empty() && self.link_drains.is_empty() {
            return;
        }
        for entry in dialed {
            let is_dropped = dropped.contains(&entry);
            match self.links.find_dialed(entry) {
                Some(link) => self.advance_link_drain(entry, link, is_dropped, now),
                None if is_dropped => self.dialed_entries.remove(entry),
                None => {}
            }
        }
    }

    /// Takes the next step of draining the link to an entry.
    fn advance_link_drain(
        &mut self,
        entry: SocketAddr,
        link: LinkId,
        is_dropped: bool,
        now: Timestamp,
    ) {
        let has_runs = self.runner.count_session_runs(link) > 0;
        match self.link_drains.advance(link, is_dropped, has_runs, now) {
            LinkDrainStep::NoChange => {}
            LinkDrainStep::StopOffering => self.runner.retire_session(link, true),
            LinkDrainStep::ResumeOffering => self.runner.retire_session(link, false),
            LinkDrainStep::SendGoodbye => {
                log::info!(entry = entry.to_string().as_str(), link; "closing the link to an unassigned entry");
                // An entry that misses the message keeps inviting this guard for a while, which is harmless.
                self.links.send(link, &PeerMessage::Goodbye);
            }
            LinkDrainStep::Close => self.dialed_entries.remove(entry),
        }
    }
}

/// Returns the message that describes the target, to an entry or a control process.
fn target_message(target: TargetDescription) -> PeerMessage {
    PeerMessage::ToDispatcher(RunnerMessage::Target(Some(target)))
}
