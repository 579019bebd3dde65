//! Calls to groups that wait for the reply of another control process, and operators' calls that wait for any.
//!
//! Owns who waits under which token. What waits for longer than [`RELAY_TIMEOUT`] or over a link that has closed is forgotten: its caller
//! repeats the call.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{CallToken, JobReply};
use cloverfold_link::LinkId;
use tokio::sync::oneshot;

use crate::job_groups::Caller;

/// How long the reply to a call is waited for. Chosen, not measured: longer than an entry waits.
const RELAY_TIMEOUT: Duration = Duration::from_secs(5);
/// Calls that wait for other processes, at most. Chosen, not measured: 850 jobs a second for the time-out, four times over.
const MAX_RELAYS: usize = 16_384;

/// A call that was passed to another process.
#[derive(Clone, Copy, Debug)]
struct Relay {
    caller: Caller,
    /// The link over which it was passed on.
    via: LinkId,
    since: Timestamp,
}

/// The calls that wait for other processes.
#[derive(Debug, Default)]
pub(super) struct JobRelays {
    last_token: CallToken,
    waiting: HashMap<CallToken, Relay>,
    operators: HashMap<CallToken, oneshot::Sender<JobReply>>,
}

impl JobRelays {
    /// Records a call that is passed on over a link; returns the token for it, or `None` if too many wait.
    pub(super) fn add(&mut self, caller: Caller, via: LinkId, now: Timestamp) -> Option<CallToken> {
        if self.waiting.len() >= MAX_RELAYS {
            return None;
        }
        let token = self.next_token();
        let since = now;
        self.waiting.insert(token, Relay { caller, via, since });
        Some(token)
    }

    /// Returns who waits for a reply that came over a link.
    pub(super) fn take(&mut self, token: CallToken, via: LinkId) -> Option<Caller> {
        let relay = self.waiting.get(&token)?;
        if relay.via != via {
            return None;
        }
        self.waiting.remove(&token).map(|relay| relay.caller)
    }

    /// Forgets a call that was not passed on.
    pub(super) fn cancel(&mut self, token: CallToken) {
        self.waiting.remove(&token);
    }

    /// Forgets what waits for a link that has closed.
    pub(super) fn discard_link(&mut self, link: LinkId) {
        self.waiting.retain(|_, relay| relay.via != link);
    }

    /// Forgets what has waited for too long, and operators that gave up.
    pub(super) fn discard_expired(&mut self, now: Timestamp) {
        self.waiting
            .retain(|_, relay| now < relay.since + RELAY_TIMEOUT);
        self.operators.retain(|_, waiting| !waiting.is_closed());
    }

    /// Adds an operator's call.
    pub(super) fn add_operator(&mut self) -> (Caller, oneshot::Receiver<JobReply>) {
        let (tx, rx) = oneshot::channel();
        let token = self.next_token();
        self.operators.insert(token, tx);
        (Caller::Operator(token), rx)
    }

    /// Passes a reply to the operator's call that waits for it.
    pub(super) fn answer_operator(&mut self, token: CallToken, reply: JobReply) {
        if let Some(waiting) = self.operators.remove(&token) {
            // An operator that gave up waiting needs no reply.
            let _ = waiting.send(reply);
        }
    }

    fn next_token(&mut self) -> CallToken {
        self.last_token += 1;
        self.last_token
    }
}
