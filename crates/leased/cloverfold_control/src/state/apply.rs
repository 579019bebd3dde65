//! Processing of the replica's output and application of committed entries.

use cloverfold_configuration::Proposal;
use cloverfold_consensus::{
    Entry, LogIndex, Members, OutgoingMessage, Payload, ReplicaId, Role, Snapshot, Term,
};
use cloverfold_peer::{PeerMessage, SharedMessage};

use super::ControlState;
use super::replicated::{Command, ReplicatedState};
use super::status::format_id;
use crate::disk::{LogEvent, LogId};

/// The term, role and leader as seen by this replica; logged when they change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct GroupView {
    term: Term,
    role: Role,
    leader: Option<ReplicaId>,
}

impl Default for GroupView {
    fn default() -> Self {
        Self {
            term: 0,
            role: Role::Follower,
            leader: None,
        }
    }
}

impl ControlState {
    pub(crate) fn handle_disk_event(&mut self, event: LogEvent) {
        let event = match event.log {
            LogId::Control => event.event,
            LogId::Jobs(group) => return self.handle_job_disk_event(group, event.event),
        };
        for outgoing in self.host.handle_disk_event(&event, self.clock.now()) {
            self.send_outgoing(outgoing);
        }
        self.advance();
    }

    /// Processes the output of the replica: writes, sends, applies and completes reads.
    pub(super) fn advance(&mut self) {
        let ready = self.host.write_ready(self.clock.now());
        for outgoing in ready.messages {
            self.send_outgoing(outgoing);
        }
        if let Some(snapshot) = ready.restored {
            self.restore(&snapshot);
        }
        for entry in ready.committed {
            self.apply(entry);
        }
        for outcome in ready.reads {
            self.finish_read(outcome.token, outcome.index);
        }
        self.send_new_evacuations();
        self.announce_new_version();
        self.host_agreed_groups();
        self.log_changed_view();
    }

    fn send_outgoing(&self, outgoing: OutgoingMessage) {
        // The replica resends lost messages.
        self.send_to_replica(outgoing.to, &PeerMessage::Consensus(outgoing.message));
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        match ReplicatedState::decode(&snapshot.state) {
            Ok(state) => self.state = state,
            Err(cause) => log::error!("cannot decode a snapshot: {cause}"),
        }
        self.applied.send_replace(snapshot.index);
    }

    fn apply(&mut self, entry: Entry) {
        let index = entry.index;
        match entry.payload {
            Payload::Command(command) => self.apply_command(index, &command),
            Payload::Members(members) => self.apply_members(index, &members),
            Payload::Empty => {}
        }
        let state = &self.state;
        self.host.replica.maybe_compact(index, || state.encode());
        self.applied.send_replace(index);
    }

    fn apply_command(&mut self, index: LogIndex, command: &[u8]) {
        match Command::decode(command) {
            Ok(Command::Configuration(proposal)) => self.apply_proposal(proposal, index),
            Ok(Command::Evacuation(order)) => self.apply_order(order, index),
            Ok(Command::Upkeep(command)) => self.apply_upkeep(command, index),
            Ok(Command::JobGroups(groups)) => {
                self.state.job_groups.get_or_insert(groups);
            }
            Err(cause) => log::error!(index; "cannot decode a log entry: {cause}"),
        }
    }

    fn apply_proposal(&mut self, proposal: Proposal, index: LogIndex) {
        let version = proposal.configuration.version;
        let source = proposal.source.clone();
        let before = self.current_version();
        let outcome = self.state.configuration.apply(proposal);
        log::info!(
            version, before, index, source = source.as_str(), outcome = outcome.as_str();
            "applied a proposed configuration"
        );
    }

    fn apply_members(&mut self, index: LogIndex, members: &Members) {
        let voters = members.voters.iter();
        let addresses: Vec<String> = voters.map(|member| member.address.to_string()).collect();
        log::info!(index, voters = addresses.join(",").as_str(); "the voters of the group changed");
        for member in &members.voters {
            self.dialed.add(member.address);
        }
        self.directories.mark_outdated(self.clock.now());
    }

    /// Announces a version that came into force to waiting operator calls, entries and guards.
    fn announce_new_version(&mut self) {
        let version = self.current_version();
        if version != *self.version.borrow() {
            self.version.send_replace(version);
            if let Some(current) = self.state.configuration.current().cloned() {
                self.recent_configurations.record(&current);
                let message = PeerMessage::Configuration(current);
                self.shared_configuration = SharedMessage::new(&message);
            }
            self.send_notice();
        }
    }

    /// Logs a change of term, role or leader.
    fn log_changed_view(&mut self) {
        let status = self.host.replica.status();
        let view = GroupView {
            term: status.term,
            role: status.role,
            leader: status.leader,
        };
        if view == self.logged_view {
            return;
        }
        self.logged_view = view;
        // An unknown leader is logged as an empty string.
        let leader = status.leader.map(format_id).unwrap_or_default();
        log::info!(
            term = status.term, role = status.role.as_str(), leader = leader.as_str(), commit = status.commit;
            "the term, role or leader changed"
        );
    }
}
