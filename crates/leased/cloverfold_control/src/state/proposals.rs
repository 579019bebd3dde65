//! Decision: what becomes of a proposed configuration on its way into the log.
//!
//! Rule: a process that doesn't lead passes a proposal to the leader. The leader appends it unless its version is not above the one in
//! force, or the same version was appended and is not committed yet. Which version is then in force is decided where the entry is applied
//! (`cloverfold_configuration::ProposalOutcome`).
//!
//! Inputs: the version proposed, the version in force here, the index at which the same version was appended, the committed index.
//!
//! Reason: the process that received a proposal submits it again every 250 ms until a version as high is committed; without the check each
//! repetition would become an entry.

use cloverfold_configuration::Proposal;
use cloverfold_peer::PeerMessage;

use super::ControlState;
use super::replicated::Command;

impl ControlState {
    /// Appends a proposal if this process leads, and passes it to the leader otherwise. Where neither is possible it is dropped;
    /// the process that received it from the operator submits it again.
    pub(crate) fn submit_proposal(&mut self, proposal: &Proposal) {
        if self.host.is_leader() {
            self.append_proposal(proposal);
        } else if let Some(leader) = self.find_other_leader() {
            self.send_to_replica(leader, &PeerMessage::Proposal(proposal.clone()));
        }
    }

    /// Appends a proposal that a peer passed on, if this process leads.
    pub(super) fn receive_proposal(&mut self, proposal: &Proposal) {
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
            log::error!(version; "a proposal cannot be encoded");
            return;
        };
        if let Ok(index) = self.host.replica.propose(command, self.clock.now()) {
            self.uncommitted_versions.record(version, index, commit);
        }
        self.advance();
    }
}
