//! How long a process may be stalled (frozen or starved of processor time) before its state counts as out of date.
//!
//! Relies on all measures being taken between two calls of the same process, by its own steady clock.
//!
//! There are two limits since the reactions cost differently:
//!
//! | limit | what is distrusted | reaction | cost if it was needless |
//! |---|---|---|---|
//! | [`STALL_THRESHOLD`](cloverfold_base::STALL_THRESHOLD), 100 ms | the silence of others: what they sent meanwhile may be unread | their silence during the stall does not count, and nothing is concluded from it in a [`CatchUp`] | what has really failed is noticed later |
//! | [`JOB_STALL`], 700 ms | open jobs and requests that arrived during the stall: their callers may have left and sent them elsewhere | the dispatcher gives up all jobs (`Dispatcher::give_up_after_stall`), and the entry refuses requests ([`is_request_outdated`]) | the work that was done for them, or one more attempt |
//!
//! The second must stay well below the time after which a caller sends again ([`DEFAULT_RESEND`](crate::DEFAULT_RESEND), 1,300 ms).

use std::time::Duration;

use cloverfold_base::Timestamp;

/// A gap between two calls of a dispatcher from which it gives up all open jobs.
///
/// A caller may have left unnoticed and asked elsewhere; what is started for it then could run twice at once.
pub const JOB_STALL: Duration = Duration::from_millis(700);

/// Returns whether a request that is read now may have been waiting for so long that its caller has asked elsewhere: the process has not
/// ticked for longer than open jobs are kept through.
pub fn is_request_outdated(last_tick_at: Timestamp, now: Timestamp) -> bool {
    now > last_tick_at + JOB_STALL
}

/// The time after a stall in which a process reads what others have sent meanwhile, and concludes nothing from what it has not read.
///
/// It lasts for one heartbeat, in which everyone who is alive is heard from. The next one begins no earlier than a heartbeat after its end,
/// so that a process that is stalled again and again still reaches its conclusions.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CatchUp {
    until: Timestamp,
}

impl CatchUp {
    /// Begins after a stall, unless the one before has only just ended.
    pub(crate) fn begin(&mut self, heartbeat: Duration, now: Timestamp) {
        if now >= self.until + heartbeat {
            self.until = now + heartbeat;
        }
    }

    /// Returns whether it lasts.
    pub(crate) fn is_active(self, now: Timestamp) -> bool {
        now < self.until
    }
}
