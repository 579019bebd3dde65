//! Linearizable reads, performed locally or by the leader.
//!
//! `cloverfold_consensus` implements the reads; a process that does not lead forwards them to the leader.

use cloverfold_consensus::{LogIndex, ReadToken};
use cloverfold_link::LinkId;
use cloverfold_peer::PeerMessage;
use tokio::sync::oneshot;

use super::ControlState;
use super::pending_reads::PeerRead;

impl ControlState {
    /// Starts a read. Its outcome is the index that must be applied before responding, or `None` if the read failed and should be retried.
    pub(crate) fn begin_read(&mut self) -> oneshot::Receiver<Option<LogIndex>> {
        let (token, rx) = self.reads.add_own();
        match self.find_other_leader() {
            Some(leader) => {
                if !self.send_to_replica(leader, &PeerMessage::Read { token }) {
                    self.finish_read(token, None);
                }
            }
            None => {
                self.host.replica.begin_read(token, self.clock.now());
                self.advance();
            }
        }
        rx
    }

    pub(super) fn start_peer_read(&mut self, link: LinkId, token: ReadToken) {
        let own = self.reads.add_for_peer(PeerRead { link, token });
        self.host.replica.begin_read(own, self.clock.now());
    }

    /// Delivers the outcome of a read to the local call or the control process that waits for it.
    pub(super) fn finish_read(&mut self, token: ReadToken, index: Option<LogIndex>) {
        if let Some(PeerRead { link, token }) = self.reads.finish(token, index) {
            // A peer whose link is closed retries the read.
            self.links
                .send(link, &PeerMessage::ReadReply { token, index });
        }
    }
}
