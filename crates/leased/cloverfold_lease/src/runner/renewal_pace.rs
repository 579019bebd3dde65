//! Decides how long to pause between the answer to a renewal and the next renewal.
//!
//! | answer | pause |
//! |---|---|
//! | a list, after about the full poll timeout | none |
//! | an early list with a new end | [`MIN_PAUSE`] |
//! | an early list without a new end | twice the previous pause, up to the poll timeout; ends as soon as a held end is released |
//! | a list, to a renewal that did not extend the lease | [`UNANSWERED_PAUSE`] |
//! | none, or a refusal | [`UNANSWERED_PAUSE`], or [`UNAVAILABLE_PAUSE`] if the target accepts no work |
//!
//! A target with an end that it must keep listing answers at once. Without a pause the runner would renew in a busy loop for as long as no
//! majority of the control processes records ends. With these pauses such a target gets about as many renewals as an idle one.
//!
//! No answer makes the pause shorter than [`MIN_PAUSE`], so a target gets at most 500 renewals per second.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::runner::orders::RenewalOrder;

/// Pause after an early list with a new end, shorter than a round trip to a target on a busy box.
const MIN_PAUSE: Duration = Duration::from_millis(2);
/// Pause after a renewal that was not answered or that did not extend the lease.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(10);
/// Pause after an unanswered renewal to a target that accepts no work; longer, since each renewal may open a connection.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(60);

/// A list is early if it arrives within the poll timeout divided by this; the margin tolerates imprecise timers at the target.
const EARLY_LIST_DIVISOR: u32 = 2;

/// Pause before the next renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RenewalPause {
    /// Minimum pause.
    pub shortest: Duration,
    /// Maximum pause; [`RunnerAction::RenewNow`](crate::RunnerAction::RenewNow) ends it early.
    pub longest: Duration,
}

impl RenewalPause {
    /// Returns whether it follows an early list.
    pub(super) fn is_for_early_list(self) -> bool {
        self.shortest == MIN_PAUSE
    }

    fn fixed(pause: Duration) -> Self {
        Self {
            shortest: pause,
            longest: pause,
        }
    }
}

/// Exponential backoff after early lists without a new end.
#[derive(Clone, Copy, Debug)]
pub(super) struct RenewalPace {
    next: Duration,
}

impl Default for RenewalPace {
    fn default() -> Self {
        Self { next: MIN_PAUSE }
    }
}

impl RenewalPace {
    /// Returns the pause after a list; `has_new_end` if it contains an end for the first time.
    pub(super) fn pause_after_list(
        &mut self,
        order: &RenewalOrder,
        has_new_end: bool,
        now: Timestamp,
    ) -> RenewalPause {
        if order.deadline.is_none() {
            return RenewalPause::fixed(UNANSWERED_PAUSE);
        }
        let is_early = now < order.sent_at + order.poll_timeout / EARLY_LIST_DIVISOR;
        if has_new_end || !is_early {
            self.next = MIN_PAUSE;
        }
        if !is_early {
            return RenewalPause::default();
        }
        let pause = self.next;
        self.next = (pause * 2).min(order.poll_timeout);
        RenewalPause {
            shortest: MIN_PAUSE,
            longest: pause,
        }
    }

    /// Returns the pause after a renewal that was refused or not answered.
    pub(super) fn pause_after_failure(is_ready: bool) -> RenewalPause {
        RenewalPause::fixed(if is_ready {
            UNANSWERED_PAUSE
        } else {
            UNAVAILABLE_PAUSE
        })
    }
}
