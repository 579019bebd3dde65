//! Pending calls to groups: calls forwarded to other control processes, and calls of operators.
//!
//! Forwarded calls are dropped after [`RELAY_TIMEOUT`] or when their link closes; the caller then retries.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{CallToken, JobReply};
use cloverfold_link::LinkId;
use tokio::sync::oneshot;

use crate::job_groups::Caller;

/// How long to wait for the reply to a forwarded call; longer than the timeout of an entry.
const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of forwarded calls; four times as many as 850 jobs per second need within [`RELAY_TIMEOUT`].
const MAX_RELAYS: usize = 16_384;

/// A forwarded call.
#[derive(Clone, Copy, Debug)]
struct Relay {
    caller: Caller,
    /// The link over which the call was forwarded.
    via: LinkId,
    since: Timestamp,
}

/// The pending calls, by token.
#[derive(Debug, Default)]
pub(super) struct JobRelays {
    last_token: CallToken,
    waiting: HashMap<CallToken, Relay>,
    operators: HashMap<CallToken, oneshot::Sender<JobReply>>,
}

impl JobRelays {
    /// Records a call to be forwarded over a link; returns its token, or `None` if too many calls are pending.
    pub(super) fn add(&mut self, caller: Caller, via: LinkId, now: Timestamp) -> Option<CallToken> {
        if self.waiting.len() >= MAX_RELAYS {
            return None;
        }
        let token = self.next_token();
        let since = now;
        self.waiting.insert(token, Relay { caller, via, since });
        Some(token)
    }

    /// Takes the caller that waits for a reply received over a link.
    pub(super) fn take(&mut self, token: CallToken, via: LinkId) -> Option<Caller> {
        let relay = self.waiting.get(&token)?;
        if relay.via != via {
            return None;
        }
        self.waiting.remove(&token).map(|relay| relay.caller)
    }

    /// Removes a call that could not be forwarded.
    pub(super) fn cancel(&mut self, token: CallToken) {
        self.waiting.remove(&token);
    }

    /// Drops the calls forwarded over a closed link.
    pub(super) fn discard_link(&mut self, link: LinkId) {
        self.waiting.retain(|_, relay| relay.via != link);
    }

    /// Drops the calls that timed out, and the operator calls whose receiver was dropped.
    pub(super) fn discard_expired(&mut self, now: Timestamp) {
        self.waiting
            .retain(|_, relay| now < relay.since + RELAY_TIMEOUT);
        self.operators.retain(|_, waiting| !waiting.is_closed());
    }

    /// Adds an operator's call; returns the receiver of its reply.
    pub(super) fn add_operator(&mut self) -> (Caller, oneshot::Receiver<JobReply>) {
        let (tx, rx) = oneshot::channel();
        let token = self.next_token();
        self.operators.insert(token, tx);
        (Caller::Operator(token), rx)
    }

    /// Delivers a reply to an operator's call.
    pub(super) fn answer_operator(&mut self, token: CallToken, reply: JobReply) {
        if let Some(waiting) = self.operators.remove(&token) {
            // The call may have timed out and dropped the receiver.
            let _ = waiting.send(reply);
        }
    }

    fn next_token(&mut self) -> CallToken {
        self.last_token += 1;
        self.last_token
    }
}
