//! The calls of one holder for one box, and what is known of them.
//!
//! Decision: when a box that was called is called again, and when its call is known not to be done any more.
//!
//! | outcome | what follows |
//! |---|---|
//! | `Begun` | the upkeep has begun |
//! | `NotSent`, `TooMany` | called again; this call is certainly not done |
//! | `Busy`, `NotOfWave`, `NoSuchBox` | if no call is open: the box waits again and is called later; else called again |
//! | `Unanswered` | the call is open: it may be done, or be done late; called again until an answer comes |
//! | `Fenced` | no call more by this holder |
//!
//! That a box has left for good is decided by the list alone (`box_list`): a call that the platform cannot read may be refused like one
//! for a box that is not there, and a wave must not be called completed for that.
//!
//! A call counts as open until an answer says that the upkeep has begun, or for [`MAX_CALL_DELAY`]. Calls are repeated after a pause that
//! doubles from [`FIRST_PAUSE`] to [`LONGEST_PAUSE`], up to half of it drawn at random.
//!
//! Inputs: the outcomes in their order, the time passed. Reason: a call without an answer may have been done; repeating it is harmless,
//! since one upkeep of a box is done once in a wave.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::boxes::CallOutcome;

/// Pause after the first call without success. Chosen, not measured.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between two calls for a box. Chosen, not measured.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// After this a call without an answer is not carried out any more. Chosen, not measured: the platform carries calls out seconds late.
pub const MAX_CALL_DELAY: Duration = Duration::from_secs(30);

/// Returns the pause before the call that follows so many calls without success; `random` spreads it.
pub fn retry_backoff(failures: u32, random: u64) -> Duration {
    let doubled = FIRST_PAUSE.saturating_mul(1 << failures.saturating_sub(1).min(8));
    let longest = doubled.min(LONGEST_PAUSE);
    let spread = (longest / 2).as_millis().max(1) as u64;
    longest - Duration::from_millis(random % spread)
}

/// After so many calls without success the target works on although a call may still be done. Chosen, not measured: some ten seconds.
const MOST_HELD_FAILURES: u32 = 6;

/// What is known for certain of a box that was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Its upkeep has begun.
    Begun,
    /// No call is open, and the last was refused.
    Refused,
}

/// The calls of this holder for one box in one wave.
#[derive(Clone, Debug)]
pub(crate) struct BoxCalls {
    /// Since when a call is open: it may be done, or may still be done.
    open_since: Option<Timestamp>,
    is_under_way: bool,
    is_fenced: bool,
    failures: u32,
    next_at: Timestamp,
    verdict: Option<Verdict>,
    /// When the guard was told last to hold the target.
    held_at: Option<Timestamp>,
    /// The incarnation of the target before the first call, if this holder saw it.
    pub(crate) target_before: Option<String>,
}

impl BoxCalls {
    /// Of a box that this holder is the first to call.
    pub(crate) fn first(now: Timestamp, target_before: Option<String>) -> Self {
        Self {
            open_since: None,
            is_under_way: false,
            is_fenced: false,
            failures: 0,
            next_at: now,
            verdict: None,
            held_at: None,
            target_before,
        }
    }

    /// Of a box that another holder may have called until now.
    pub(crate) fn taken_over(now: Timestamp) -> Self {
        Self {
            open_since: Some(now),
            ..Self::first(now, None)
        }
    }

    pub(crate) fn verdict(&self) -> Option<Verdict> {
        self.verdict
    }

    /// Returns the target to hold while a call may be done at any moment, if its guard is to be told again now.
    pub(crate) fn take_hold(&mut self, interval: Duration, now: Timestamp) -> Option<String> {
        let is_wanted = !self.is_fenced && self.failures < MOST_HELD_FAILURES;
        let is_due = self.held_at.is_none_or(|held| now >= held + interval);
        if !is_wanted || !is_due {
            return None;
        }
        self.held_at = Some(now);
        self.target_before.clone()
    }

    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        !self.is_under_way && !self.is_fenced && self.verdict.is_none() && now >= self.next_at
    }

    pub(crate) fn begin(&mut self) {
        self.is_under_way = true;
    }

    /// Records the outcome of a call.
    pub(crate) fn end(&mut self, outcome: CallOutcome, now: Timestamp, random: u64) {
        self.is_under_way = false;
        match outcome {
            CallOutcome::Begun => self.verdict = Some(Verdict::Begun),
            CallOutcome::Fenced => self.is_fenced = true,
            CallOutcome::Unanswered => self.open_since = Some(now),
            CallOutcome::Busy | CallOutcome::NotOfWave | CallOutcome::NoSuchBox => {
                if !self.is_open(now) {
                    self.verdict = Some(Verdict::Refused);
                }
            }
            CallOutcome::NotSent | CallOutcome::TooMany => {}
        }
        self.failures += 1;
        self.next_at = now + retry_backoff(self.failures, random);
    }

    /// Allows the next call to a box that was refused.
    pub(crate) fn begin_again(&mut self, target_before: Option<String>) {
        self.verdict = None;
        self.target_before = target_before;
    }

    /// Returns whether a pause after a refusal is over.
    pub(crate) fn may_begin_again(&self, now: Timestamp) -> bool {
        !self.is_fenced && now >= self.next_at
    }

    fn is_open(&self, now: Timestamp) -> bool {
        self.open_since
            .is_some_and(|since| now < since + MAX_CALL_DELAY)
    }
}
