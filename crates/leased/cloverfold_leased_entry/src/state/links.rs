//! Link events of an entry: passes messages from guards to the dispatcher, fetches newer configurations and invites guards.

use std::collections::HashMap;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{Configuration, ConfigurationDelta, StoredConfiguration, Version};
use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_lease::QueueAttributes;
use cloverfold_link::{LinkEvent, LinkId, send_once};
use cloverfold_peer::{Hello, PeerMessage, PeerRole};

use super::EntryState;

impl EntryState {
    pub(super) fn handle_link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.own_hello.version = self.version();
                self.links.open(link, dialed, sender, &self.own_hello);
            }
            LinkEvent::Received { link, message } => self.receive(link, message),
            LinkEvent::Closed { link } => self.close_link(link),
        }
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hello(hello) => self.receive_hello(link, hello),
            PeerMessage::ToDispatcher(message) => self.dispatcher.receive(link, message, now),
            PeerMessage::VersionNotice { version, .. } => self.fetch_if_newer(link, version),
            PeerMessage::Fetch | PeerMessage::FetchSince { .. } => self.send_configuration(link),
            PeerMessage::Configuration(stored) => self.receive_configuration(stored),
            PeerMessage::ConfigurationChange(delta) => self.receive_delta(link, &delta),
            PeerMessage::Directory(directory) => self.controls.set_controls(directory.controls),
            PeerMessage::DialControls(controls) => self.controls.accept_invitation(controls),
            PeerMessage::Evacuations(halls) => self.receive_evacuations(link, halls),
            PeerMessage::Goodbye => self.remove_guard(link),
            // These messages are never sent to an entry.
            PeerMessage::ToRunner(_)
            | PeerMessage::Invite { .. }
            | PeerMessage::Consensus(_)
            | PeerMessage::Proposal(_)
            | PeerMessage::EvacuationOrder(_)
            | PeerMessage::Read { .. }
            | PeerMessage::ReadReply { .. }
            | PeerMessage::JobCall(_)
            | PeerMessage::JobConsensus { .. }
            | PeerMessage::UpkeepCommand(_)
            | PeerMessage::HoldTarget(_)
            | PeerMessage::TargetNeeds(_)
            | PeerMessage::RememberedSpeed(_) => {}
            PeerMessage::JobGroups(groups) => self.driver.set_group_count(groups.count, now),
            PeerMessage::JobReply(reply) => self.driver.receive(reply, now),
        }
    }

    fn receive_hello(&mut self, link: LinkId, hello: Hello) {
        let now = self.clock.now();
        let version = hello.version;
        log::info!(peer = hello.name.as_str(), link, version; "peer connected");
        if hello.role == PeerRole::Guard {
            self.dispatcher.open_session(link, &hello.name, now);
            if hello.supports_kept_jobs() {
                self.dispatcher.set_supports_kept_jobs(link);
            }
            if hello.supports_start_reports() {
                self.dispatcher.set_reports_starts(link);
            }
            if let Some(hall) = hello.data_hall() {
                self.dispatcher.set_data_hall(link, hall);
            }
            self.guards.add_link(hello.address, now);
        }
        self.links.record_hello(link, hello);
        self.evacuations.announce(&self.links);
        self.fetch_if_newer(link, version);
    }

    /// Removes a link, which closes it if it is still open, and ends the session of a guard.
    pub(super) fn close_link(&mut self, link: LinkId) {
        let now = self.clock.now();
        self.requested_targets.remove(link);
        let Some(hello) = self.links.close(link) else {
            return;
        };
        if hello.role == PeerRole::Guard {
            self.dispatcher.close_session(link, now);
            self.guards.remove_link(hello.address, now);
        }
    }

    /// Closes the link to a guard that has said goodbye, and stops inviting it.
    fn remove_guard(&mut self, link: LinkId) {
        let Some(guard) = self.links.hello(link).map(|hello| hello.address) else {
            return;
        };
        self.close_link(link);
        self.guards.discard(guard);
    }

    /// Fetches the configuration of a peer if it is newer and no other fetch is in flight.
    fn fetch_if_newer(&mut self, link: LinkId, version: Version) {
        let now = self.clock.now();
        if self.fetches.try_start(version, self.version(), now) {
            self.links.fetch_configuration(link, self.version());
        }
    }

    fn send_configuration(&self, link: LinkId) {
        if let Some(stored) = self.configuration.stored().cloned() {
            self.links.send(link, &PeerMessage::Configuration(stored));
        }
    }

    fn receive_configuration(&mut self, stored: StoredConfiguration) {
        self.fetches.finish();
        if self.configuration.replace(stored, self.protocol.as_ref()) {
            self.is_configured.send_replace(true);
            self.update_queues();
            self.announce_version();
        }
    }

    /// Applies the queues of the configuration in force to the open jobs, which were submitted or handed over under an earlier one.
    fn update_queues(&mut self) {
        let Some(configuration) = self.configuration() else {
            return;
        };
        let now = self.clock.now();
        let changed = self
            .dispatcher
            .update_queues(&queue_attributes(&configuration), now);
        if changed > 0 {
            log::info!(jobs = changed, version = configuration.version; "open jobs moved with their queues");
        }
    }

    /// Puts a configuration in force that was sent as a delta.
    fn receive_delta(&mut self, link: LinkId, delta: &ConfigurationDelta) {
        let base = self.configuration.stored();
        if let Some(stored) = self.links.apply_delta(link, delta, base) {
            self.receive_configuration(stored);
        }
    }

    /// Adopts newer evacuated halls from a peer, so that the dispatcher assigns no work there.
    fn receive_evacuations(&mut self, link: LinkId, halls: EvacuatedHalls) {
        if self.evacuations.receive(halls, link, &mut self.links) {
            let halls = &self.evacuations.halls().halls;
            self.dispatcher.set_evacuated_halls(halls);
        }
    }

    /// Sends the version in force here to the control processes, which report it to operators.
    fn announce_version(&self) {
        let notice = PeerMessage::VersionNotice {
            version: self.version(),
            has_quorum: false,
        };
        let is_control = |role| matches!(role, PeerRole::Control { .. });
        self.links.send_to_roles(is_control, &notice);
    }

    /// Invites disconnected guards: they may have restarted and know no entry.
    pub(super) fn invite_guards(&mut self, now: Timestamp) {
        if self.is_draining {
            return;
        }
        let entry = self.own_hello.address;
        for guard in self.guards.take_due_invitations(now) {
            tokio::spawn(async move {
                // A failure is harmless: the entry invites the guard again until it is connected.
                let _ = send_once(guard, &PeerMessage::Invite { entry }).await;
            });
        }
    }
}

/// Returns the attributes of all queues, by name. As in [`Configuration::find_queue`], the first route of a name applies.
fn queue_attributes(configuration: &Configuration) -> HashMap<String, QueueAttributes> {
    let queues = configuration.routes.iter().rev().map(|route| {
        let attributes = QueueAttributes {
            service: route.service.clone(),
            priority: route.priority,
        };
        (route.name.clone(), attributes)
    });
    queues.collect()
}
