//! Orders and reads of operators, here and at the leader.

use cloverfold_configuration::Proposal;
use cloverfold_consensus::{LogIndex, Role};
use cloverfold_peer::PeerMessage;
use tokio::sync::oneshot;

use super::ControlState;

impl ControlState {
    /// Appends a proposal if this process leads, and passes it to the leader otherwise.
    pub(crate) fn submit_proposal(&mut self, proposal: &Proposal) {
        let version = proposal.configuration.version;
        let status = self.replica.status();
        if status.role != Role::Leader {
            if let Some(leader) = status.leader.filter(|id| *id != self.replica_id) {
                self.send_to_replica(leader, &PeerMessage::Proposal(proposal.clone()));
            }
            return;
        }
        let is_under_way = self
            .proposed
            .get(&version)
            .is_some_and(|&index| index > status.commit);
        if version <= self.state.version() || is_under_way {
            return;
        }
        let Ok(command) = postcard::to_stdvec(proposal) else {
            log::error!(version; "a proposal cannot be encoded");
            return;
        };
        if let Ok(index) = self
            .replica
            .propose(command, self.clock.now().since_start())
        {
            self.proposed.retain(|_, held| *held > status.commit);
            self.proposed.insert(version, index);
        }
        self.advance();
    }

    /// Begins to prove the newest committed place; here or at the leader.
    pub(crate) fn begin_read(&mut self) -> oneshot::Receiver<Option<LogIndex>> {
        let (tx, rx) = oneshot::channel();
        let token = self.take_token();
        self.own_reads.insert(token, tx);
        let status = self.replica.status();
        match status.leader {
            Some(leader) if leader != self.replica_id => {
                if !self.send_to_replica(leader, &PeerMessage::Read { token }) {
                    self.finish_read(token, None);
                }
            }
            _ => {
                self.replica
                    .begin_read(token, self.clock.now().since_start());
                self.advance();
            }
        }
        rx
    }

    pub(super) fn take_token(&mut self) -> u64 {
        self.next_token += 1;
        self.own_reads.retain(|_, waiting| !waiting.is_closed());
        self.next_token
    }

    pub(super) fn finish_read(&mut self, token: u64, index: Option<LogIndex>) {
        if let Some((link, token)) = self.peer_reads.remove(&token) {
            self.send(link, &PeerMessage::ReadReply { token, index });
        }
        if let Some(waiting) = self.own_reads.remove(&token) {
            // The operator may have left.
            let _ = waiting.send(index);
        }
    }
}
