//! Decision: how long to wait between the answer to a renewal and the next renewal.
//!
//! | answer | pause |
//! |---|---|
//! | a list, after the target has waited for about as long as it may | none |
//! | a list that comes earlier and tells a new end | [`FIRST_PAUSE`] |
//! | a list that comes earlier and tells nothing new | twice the pause before, up to the wait of a renewal; over at once when a held end is let go of |
//! | a list without an extension of the lease | [`UNANSWERED_PAUSE`] |
//! | none, or a refusal | [`UNANSWERED_PAUSE`], from a target that accepts no work [`UNREADY_PAUSE`] |
//!
//! Inputs: when the renewal was sent and how long it may wait, the numbers of the listed ends, the time. Reason: a target with an end that it
//! must not forget yet answers at once. Without a pause the guard asked it 5,100 times a second while no majority of the control processes
//! recorded ends (a stand-in on the loopback, debug build), and in one process with its targets nothing else got a turn. An idle
//! target is asked 40 times a second; with these pauses one whose end is held is asked about as often.
//!
//! Owns the pause that grows. No answer makes it shorter than [`FIRST_PAUSE`], so no target can be asked more than 500 times a second.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::runner::orders::RenewalOrder;

/// Pause after an early list that tells a new end. Below the way to a target and back on a box under load.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
/// Pause after a renewal that was not answered, or that listed runs which are being stopped. 30 ms before; with shorter waits for
/// answers and more starts the benches' day of lost answers rose from 0.853 to 0.862 (commit 17223cb).
const UNANSWERED_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a renewal that was not answered by a target that accepts no work, since each costs a connection: 11,410 connections on the
/// day of lost answers without it, 8,745 with it (commit 17223cb).
const UNREADY_PAUSE: Duration = Duration::from_millis(60);

/// A list is early that comes before one part of so many of the wait of its renewal. Far from the wait, since the timers of a
/// target may fire a little before or after it.
const EARLY_PART: u32 = 2;

/// Pause before the next renewal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RenewalPause {
    /// Minimum pause.
    pub min: Duration,
    /// Maximum pause; [`RunnerAction::RenewNow`](crate::RunnerAction::RenewNow) ends it early.
    pub max: Duration,
}

impl RenewalPause {
    /// Returns whether it follows a list that came long before the target had to answer.
    pub(super) fn is_for_early_list(self) -> bool {
        self.min == FIRST_PAUSE
    }

    fn fixed(pause: Duration) -> Self {
        Self {
            min: pause,
            max: pause,
        }
    }
}

/// The pause after early lists that tell nothing new.
#[derive(Clone, Copy, Debug)]
pub(super) struct RenewalPace {
    next: Duration,
}

impl Default for RenewalPace {
    fn default() -> Self {
        Self { next: FIRST_PAUSE }
    }
}

impl RenewalPace {
    /// Decides the pause after a list; `is_news` if it tells an end for the first time.
    pub(super) fn pause_after_list(
        &mut self,
        order: &RenewalOrder,
        is_news: bool,
        now: Timestamp,
    ) -> RenewalPause {
        if order.deadline.is_none() {
            return RenewalPause::fixed(UNANSWERED_PAUSE);
        }
        let is_early = now < order.sent_at + order.wait / EARLY_PART;
        if is_news || !is_early {
            self.next = FIRST_PAUSE;
        }
        if !is_early {
            return RenewalPause::default();
        }
        let pause = self.next;
        self.next = (pause * 2).min(order.wait);
        RenewalPause {
            min: FIRST_PAUSE,
            max: pause,
        }
    }

    /// Decides the pause after a renewal that was not answered or refused.
    pub(super) fn pause_after_failure(is_ready: bool) -> RenewalPause {
        RenewalPause::fixed(if is_ready {
            UNANSWERED_PAUSE
        } else {
            UNREADY_PAUSE
        })
    }
}
