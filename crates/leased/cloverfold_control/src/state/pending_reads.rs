//! Pending linearizable reads, for local operator calls and for other control processes.

use std::collections::HashMap;

use cloverfold_consensus::{LogIndex, ReadToken};
use cloverfold_link::LinkId;
use tokio::sync::oneshot;

/// A read for another control process.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerRead {
    /// The link to that process.
    pub(super) link: LinkId,
    /// The token chosen by that process.
    pub(super) token: ReadToken,
}

/// The pending reads, by the token chosen by this process.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    last_token: ReadToken,
    own: HashMap<ReadToken, oneshot::Sender<Option<LogIndex>>>,
    for_peers: HashMap<ReadToken, PeerRead>,
}

impl PendingReads {
    /// Adds a local read. Its outcome is the index that must be applied before responding, or `None` if the read failed.
    pub(super) fn add_own(&mut self) -> (ReadToken, oneshot::Receiver<Option<LogIndex>>) {
        let (tx, rx) = oneshot::channel();
        let token = self.next_token();
        self.own.insert(token, tx);
        (token, rx)
    }

    pub(super) fn add_for_peer(&mut self, read: PeerRead) -> ReadToken {
        let token = self.next_token();
        self.for_peers.insert(token, read);
        token
    }

    /// Completes a read: delivers its outcome to the local call, or returns the read of the other control process.
    pub(super) fn finish(&mut self, token: ReadToken, index: Option<LogIndex>) -> Option<PeerRead> {
        if let Some(waiting) = self.own.remove(&token) {
            // The call may have timed out and dropped the receiver.
            let _ = waiting.send(index);
        }
        self.for_peers.remove(&token)
    }

    /// Returns a new token, and drops the reads whose call has timed out.
    fn next_token(&mut self) -> ReadToken {
        self.last_token += 1;
        self.own.retain(|_, waiting| !waiting.is_closed());
        self.last_token
    }
}
