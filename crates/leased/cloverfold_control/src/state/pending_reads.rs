//! Reads that wait for the proof that they are the newest.
//!
//! Owns, for each read under way in this process, what waits for it: an operator's call here or another control process.

use std::collections::HashMap;

use cloverfold_consensus::{LogIndex, ReadToken};
use cloverfold_link::LinkId;
use tokio::sync::oneshot;

/// A read for another control process.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerRead {
    /// The link to it.
    pub(super) link: LinkId,
    /// The token that it chose.
    pub(super) token: ReadToken,
}

/// The reads under way, by the token that this process chose.
#[derive(Debug, Default)]
pub(super) struct PendingReads {
    last_token: ReadToken,
    own: HashMap<ReadToken, oneshot::Sender<Option<LogIndex>>>,
    for_peers: HashMap<ReadToken, PeerRead>,
}

impl PendingReads {
    /// Adds a read of this process. The outcome is the index that must be applied before the answer, or `None` if the read failed.
    pub(super) fn add_own(&mut self) -> (ReadToken, oneshot::Receiver<Option<LogIndex>>) {
        let (tx, rx) = oneshot::channel();
        let token = self.next_token();
        self.own.insert(token, tx);
        (token, rx)
    }

    /// Adds a read for another control process.
    pub(super) fn add_for_peer(&mut self, read: PeerRead) -> ReadToken {
        let token = self.next_token();
        self.for_peers.insert(token, read);
        token
    }

    /// Ends a read: passes its outcome to the waiting call of this process, or returns the control process that waits for it.
    pub(super) fn finish(&mut self, token: ReadToken, index: Option<LogIndex>) -> Option<PeerRead> {
        if let Some(waiting) = self.own.remove(&token) {
            // An operator that gave up waiting needs no outcome.
            let _ = waiting.send(index);
        }
        self.for_peers.remove(&token)
    }

    /// Draws a token, and forgets the reads whose operator gave up waiting.
    fn next_token(&mut self) -> ReadToken {
        self.last_token += 1;
        self.own.retain(|_, waiting| !waiting.is_closed());
        self.last_token
    }
}
