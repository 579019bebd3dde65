//! Calls to groups that have no final answer yet.
//!
//! | event | result |
//! |---|---|
//! | no reply within [`RETRY_INTERVAL`] | resent, through another control process while no leader is known |
//! | refused because the group has no leader | resent after [`NO_LEADER_RETRY_DELAY`] |
//! | refused otherwise, or full, and every copy was refused | `Refused` |
//! | the deadline passes, and every copy was refused | `Refused` |
//! | the deadline passes otherwise | `Unknown` |
//!
//! A caller is told `Refused` only if no copy of the call can take effect any more. Calls are idempotent, so retries are safe.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::calls::{CallRefusal, CallToken, JobCall};
use crate::driver::actions::{CallAnswer, RefusalReason};
use crate::groups::GroupId;

/// Time after which an unanswered call is resent; more than three times the time of a commit (two disk syncs and four messages).
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a retry of a call that was refused because the group has no leader. An election takes up to 700 ms.
const NO_LEADER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum jitter added to a delay, as a fraction of it, so that entries do not retry in lockstep.
const JITTER: f64 = 0.3;
/// Maximum number of calls without a final answer; six seconds of the highest submission rate of an installation.
pub(super) const MAX_PENDING_CALLS: usize = 5_000;

/// A call without a final answer.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) group: GroupId,
    pub(super) call: JobCall,
    /// Number of copies sent.
    pub(super) sent: u32,
    /// Number of copies that were refused.
    refused: u32,
    refusal: Option<RefusalReason>,
    next_send_at: Timestamp,
    /// Time at which the caller is answered at the latest; `None` for a call that is retried until it is answered.
    deadline: Option<Timestamp>,
}

impl PendingCall {
    /// Returns whether every copy was refused, so that none can take effect.
    fn are_all_copies_refused(&self) -> bool {
        self.refused >= self.sent
    }

    /// Returns the answer to the caller when the deadline passes.
    fn deadline_answer(&self) -> CallAnswer {
        match self.refusal {
            Some(refusal) if self.are_all_copies_refused() => CallAnswer::Refused(refusal),
            _ => CallAnswer::Unknown,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    calls: BTreeMap<CallToken, PendingCall>,
}

impl PendingCalls {
    pub(super) fn is_full(&self) -> bool {
        self.calls.len() >= MAX_PENDING_CALLS
    }

    /// Adds a call that is due immediately.
    pub(super) fn add(
        &mut self,
        token: CallToken,
        group: GroupId,
        call: JobCall,
        deadline: Option<Timestamp>,
        now: Timestamp,
    ) {
        let pending = PendingCall {
            group,
            call,
            sent: 0,
            refused: 0,
            refusal: None,
            next_send_at: now,
            deadline,
        };
        self.calls.insert(token, pending);
    }

    /// Removes a call that has its final answer.
    pub(super) fn take(&mut self, token: CallToken) -> Option<PendingCall> {
        self.calls.remove(&token)
    }

    /// Removes the matching calls and returns their tokens.
    pub(super) fn take_matching(
        &mut self,
        is_match: impl Fn(&PendingCall) -> bool,
    ) -> Vec<CallToken> {
        let matching = self.calls.iter().filter(|(_, pending)| is_match(pending));
        let matching: Vec<CallToken> = matching.map(|(token, _)| *token).collect();
        for token in &matching {
            self.calls.remove(token);
        }
        matching
    }

    /// Returns the calls that are due, and schedules their retries.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Vec<(CallToken, PendingCall)> {
        let mut due = Vec::new();
        for (token, pending) in &mut self.calls {
            if now >= pending.next_send_at {
                pending.sent += 1;
                pending.next_send_at = now + with_jitter(RETRY_INTERVAL, rng);
                due.push((*token, pending.clone()));
            }
        }
        due
    }

    /// Removes the calls whose deadline has passed, and returns them with the answers to their callers.
    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<(CallToken, CallAnswer)> {
        let is_expired = |pending: &PendingCall| pending.deadline.is_some_and(|until| now >= until);
        let expired = self.calls.iter().filter(|(_, pending)| is_expired(pending));
        let expired: Vec<(CallToken, CallAnswer)> = expired
            .map(|(token, pending)| (*token, pending.deadline_answer()))
            .collect();
        for (token, _) in &expired {
            self.calls.remove(token);
        }
        expired
    }

    /// Records that one copy of a call was refused. Removes the call and returns its answer if that is final.
    pub(super) fn record_refusal(
        &mut self,
        token: CallToken,
        refusal: RefusalReason,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Option<CallAnswer> {
        let pending = self.calls.get_mut(&token)?;
        pending.refused += 1;
        pending.refusal = Some(refusal);
        let is_retryable = refusal == RefusalReason::ByGroup(CallRefusal::NoLeader);
        if is_retryable || pending.deadline.is_none() {
            let retry_at = now + with_jitter(NO_LEADER_RETRY_DELAY, rng);
            pending.next_send_at = pending.next_send_at.min(retry_at);
            return None;
        }
        if !pending.are_all_copies_refused() {
            return None;
        }
        self.calls.remove(&token);
        Some(CallAnswer::Refused(refusal))
    }
}

/// Returns the span, extended by a random fraction of up to [`JITTER`].
pub(super) fn with_jitter(span: Duration, rng: &mut SmallRng) -> Duration {
    span.mul_f64(1.0 + JITTER * rng.random::<f64>())
}
