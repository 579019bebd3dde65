//! The calls of one scheduler for one box.
//!
//! | outcome | consequence |
//! |---|---|
//! | `Begun` | the upkeep has begun |
//! | `NotSent`, `TooMany` | the call had no effect and is retried |
//! | `Busy`, `NotOfWave`, `NoSuchBox` | retried if an earlier call may still take effect; otherwise the box waits and is called later |
//! | `Unanswered` | the call may have taken effect or may still do so; it is retried until an answer arrives |
//! | `Fenced` | this scheduler sends no further call |
//!
//! An unanswered call may take effect until an answer says that the upkeep has begun, or until [`MAX_CALL_DELAY`] has passed. Retries are
//! harmless, since the platform carries out the upkeep of a box once for each wave. Their backoff doubles from [`FIRST_BACKOFF`] to
//! [`MAX_BACKOFF`], and up to half of it is jitter.
//!
//! `NoSuchBox` does not make a box count as gone; only the list does (`box_list`). The platform may give the same answer to a call that it
//! cannot parse, and a wave must not complete because of it.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::CallOutcome;

/// Backoff after the first unsuccessful call.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff between two calls for a box.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time after which an unanswered call can no longer take effect. The platform may carry a call out seconds late.
pub const MAX_CALL_DELAY: Duration = Duration::from_secs(30);

/// Returns the backoff after a number of successive failures. `random` provides the jitter.
pub fn retry_backoff(failures: u32, random: u64) -> Duration {
    let doubled = FIRST_BACKOFF.saturating_mul(1 << failures.saturating_sub(1).min(8));
    let capped = doubled.min(MAX_BACKOFF);
    let jitter_ms = (capped / 2).as_millis().max(1) as u64;
    capped - Duration::from_millis(random % jitter_ms)
}

/// Number of unsuccessful calls after which the target is no longer held, although a call may still take effect; about ten seconds of
/// retries.
const MAX_FAILURES_WITH_HOLD: u32 = 6;

/// The definite result of the calls for a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The upkeep has begun.
    Begun,
    /// The last call was refused, and no earlier call can still take effect.
    Refused,
}

/// The calls of this scheduler for one box in one wave.
#[derive(Clone, Debug)]
pub(crate) struct BoxCalls {
    /// Time of the last call that may have taken effect or may still do so.
    unresolved_since: Option<Timestamp>,
    is_in_flight: bool,
    is_fenced: bool,
    failures: u32,
    next_call_at: Timestamp,
    result: Option<CallResult>,
    /// When the last hold message was sent to the guard.
    hold_sent_at: Option<Timestamp>,
    /// Incarnation of the target before the first call, if this scheduler knows it.
    pub(crate) target_before: Option<String>,
}

impl BoxCalls {
    /// Returns the state of a box that no earlier scheduler has called.
    pub(crate) fn initial(now: Timestamp, target_before: Option<String>) -> Self {
        Self {
            unresolved_since: None,
            is_in_flight: false,
            is_fenced: false,
            failures: 0,
            next_call_at: now,
            result: None,
            hold_sent_at: None,
            target_before,
        }
    }

    /// Returns the state of a box that another scheduler may have called until now.
    pub(crate) fn inherited(now: Timestamp) -> Self {
        Self {
            unresolved_since: Some(now),
            ..Self::initial(now, None)
        }
    }

    pub(crate) fn result(&self) -> Option<CallResult> {
        self.result
    }

    /// Returns the target to hold while a call may take effect, if a hold message is due.
    pub(crate) fn due_hold(&mut self, interval: Duration, now: Timestamp) -> Option<String> {
        let is_wanted = !self.is_fenced && self.failures < MAX_FAILURES_WITH_HOLD;
        let is_due = self.hold_sent_at.is_none_or(|sent| now >= sent + interval);
        if !is_wanted || !is_due {
            return None;
        }
        self.hold_sent_at = Some(now);
        self.target_before.clone()
    }

    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        !self.is_in_flight && !self.is_fenced && self.result.is_none() && now >= self.next_call_at
    }

    pub(crate) fn record_start(&mut self) {
        self.is_in_flight = true;
    }

    /// Records the outcome of a call.
    pub(crate) fn record_outcome(&mut self, outcome: CallOutcome, now: Timestamp, random: u64) {
        self.is_in_flight = false;
        match outcome {
            CallOutcome::Begun => self.result = Some(CallResult::Begun),
            CallOutcome::Fenced => self.is_fenced = true,
            CallOutcome::Unanswered => self.unresolved_since = Some(now),
            CallOutcome::Busy | CallOutcome::NotOfWave | CallOutcome::NoSuchBox => {
                if !self.is_unresolved(now) {
                    self.result = Some(CallResult::Refused);
                }
            }
            CallOutcome::NotSent | CallOutcome::TooMany => {}
        }
        self.failures += 1;
        self.next_call_at = now + retry_backoff(self.failures, random);
    }

    /// Prepares the next call for a box whose calls were refused.
    pub(crate) fn prepare_retry(&mut self, target_before: Option<String>) {
        self.result = None;
        self.target_before = target_before;
    }

    /// Returns whether the backoff after a refusal has passed.
    pub(crate) fn may_retry(&self, now: Timestamp) -> bool {
        !self.is_fenced && now >= self.next_call_at
    }

    fn is_unresolved(&self, now: Timestamp) -> bool {
        self.unresolved_since
            .is_some_and(|since| now < since + MAX_CALL_DELAY)
    }
}
