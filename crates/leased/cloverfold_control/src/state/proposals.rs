//! Submission of proposed configurations to the log.
//!
//! A process that does not lead forwards a proposal to the leader. The leader appends it only if its version is above the one in force and
//! not already appended and uncommitted, so that the retries every 250 ms do not become further entries. Applying the entry decides whether
//! the proposal comes into force (`cloverfold_configuration::ProposalOutcome`).

use cloverfold_configuration::Proposal;
use cloverfold_peer::PeerMessage;

use super::ControlState;
use super::replicated::Command;

impl ControlState {
    /// Appends a proposal if this process leads, otherwise forwards it to the leader. Drops it if neither is possible; the process that
    /// received it from the operator resubmits it.
    pub(crate) fn submit_proposal(&mut self, proposal: &Proposal) {
        if self.host.is_leader() {
            self.append_proposal(proposal);
        } else if let Some(leader) = self.find_other_leader() {
            self.send_to_replica(leader, &PeerMessage::Proposal(proposal.clone()));
        }
    }

    /// Appends a proposal forwarded by a peer, if this process leads.
    pub(super) fn handle_proposal(&mut self, proposal: &Proposal) {
        if self.host.is_leader() {
            self.append_proposal(proposal);
        }
    }

    fn append_proposal(&mut self, proposal: &Proposal) {
        let version = proposal.configuration.version;
        let commit = self.host.replica.status().commit;
        if version <= self.current_version()
            || self.uncommitted_versions.is_uncommitted(&version, commit)
        {
            return;
        }
        let Ok(command) = Command::Configuration(proposal.clone()).encode() else {
            log::error!(version; "cannot encode a proposal");
            return;
        };
        if let Ok(index) = self.host.replica.propose(command, self.clock.now()) {
            self.uncommitted_versions.record(version, index, commit);
        }
        self.advance();
    }
}
