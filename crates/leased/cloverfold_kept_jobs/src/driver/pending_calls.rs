//! Calls to groups that are not answered yet.
//!
//! Decision: when a call is sent again, and what its caller is told. Rule:
//!
//! | | |
//! |---|---|
//! | no reply within [`REPEAT`] | sent again, over another control process while no leader is known |
//! | refused for want of a leader | sent again after [`LEADER_PAUSE`] |
//! | refused otherwise, or full, and all that was sent is answered | `Refused` |
//! | the deadline is over, all that was sent was refused | `Refused` |
//! | the deadline is over otherwise | `Unknown` |
//!
//! Inputs: how often the call was sent and refused, its deadline.
//!
//! Reason: a caller may be told that its job never runs only if no copy of the call can have an effect any more. A repeat does no harm.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::calls::{CallRefusal, CallToken, JobCall};
use crate::driver::actions::{CallAnswer, RefusalReason};
use crate::groups::GroupId;

/// After this a call without a reply is sent again. Chosen, not measured: two syncs and four messages take less than a third.
const REPEAT: Duration = Duration::from_millis(250);
/// After this a call is sent again that was refused for want of a leader. Chosen, not measured: an election takes up to 700 ms.
const LEADER_PAUSE: Duration = Duration::from_millis(100);
/// Share of a pause that is drawn on top, so that entries do not repeat in step. Chosen, not measured.
const JITTER: f64 = 0.3;
/// Calls that may wait for a reply. Chosen, not measured: six seconds of the most submissions of one installation.
pub(super) const MAX_CALLS: usize = 5_000;

/// A call without a reply that settles it.
#[derive(Clone, Debug)]
pub(super) struct PendingCall {
    pub(super) group: GroupId,
    pub(super) call: JobCall,
    /// How often it was sent.
    pub(super) sent: u32,
    /// How many of these were refused.
    refused: u32,
    refusal: Option<RefusalReason>,
    next_send_at: Timestamp,
    /// After this its caller is answered; `None` for a call that is repeated until it is answered.
    deadline: Option<Timestamp>,
}

impl PendingCall {
    /// Returns whether no copy of it can have an effect any more.
    fn is_without_effect(&self) -> bool {
        self.refused >= self.sent
    }

    /// Returns what its caller is told when the deadline is over.
    fn late_answer(&self) -> CallAnswer {
        match self.refusal {
            Some(refusal) if self.is_without_effect() => CallAnswer::Refused(refusal),
            _ => CallAnswer::Unknown,
        }
    }
}

/// The calls of one driver that are under way.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    calls: BTreeMap<CallToken, PendingCall>,
}

impl PendingCalls {
    pub(super) fn is_full(&self) -> bool {
        self.calls.len() >= MAX_CALLS
    }

    /// Adds a call, which is due at once.
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

    /// Removes a call that is settled.
    pub(super) fn take(&mut self, token: CallToken) -> Option<PendingCall> {
        self.calls.remove(&token)
    }

    /// Removes the calls that match, with their numbers.
    pub(super) fn take_all(&mut self, is_meant: impl Fn(&PendingCall) -> bool) -> Vec<CallToken> {
        let meant = self.calls.iter().filter(|(_, pending)| is_meant(pending));
        let meant: Vec<CallToken> = meant.map(|(token, _)| *token).collect();
        for token in &meant {
            self.calls.remove(token);
        }
        meant
    }

    /// Returns the calls that are to be sent now, and plans their repeats.
    pub(super) fn take_due(
        &mut self,
        now: Timestamp,
        rng: &mut SmallRng,
    ) -> Vec<(CallToken, PendingCall)> {
        let mut due = Vec::new();
        for (token, pending) in &mut self.calls {
            if now >= pending.next_send_at {
                pending.sent += 1;
                pending.next_send_at = now + with_jitter(REPEAT, rng);
                due.push((*token, pending.clone()));
            }
        }
        due
    }

    /// Removes the calls whose deadline is over, with what their callers are told.
    pub(super) fn take_late(&mut self, now: Timestamp) -> Vec<(CallToken, CallAnswer)> {
        let is_late = |pending: &PendingCall| pending.deadline.is_some_and(|until| now >= until);
        let late = self.calls.iter().filter(|(_, pending)| is_late(pending));
        let late: Vec<(CallToken, CallAnswer)> = late
            .map(|(token, pending)| (*token, pending.late_answer()))
            .collect();
        for (token, _) in &late {
            self.calls.remove(token);
        }
        late
    }

    /// Records that one copy of a call had no effect; returns the answer if that settles it, and removes it then.
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
        let is_worth_repeating = refusal == RefusalReason::ByGroup(CallRefusal::NoLeader);
        if is_worth_repeating || pending.deadline.is_none() {
            let again_at = now + with_jitter(LEADER_PAUSE, rng);
            pending.next_send_at = pending.next_send_at.min(again_at);
            return None;
        }
        if !pending.is_without_effect() {
            return None;
        }
        self.calls.remove(&token);
        Some(CallAnswer::Refused(refusal))
    }
}

/// Returns a span that is longer by up to [`JITTER`] of it.
pub(super) fn with_jitter(span: Duration, rng: &mut SmallRng) -> Duration {
    span.mul_f64(1.0 + JITTER * rng.random::<f64>())
}
