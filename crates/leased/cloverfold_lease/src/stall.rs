//! How long a process may stall (be frozen or starved of processor time) before its state counts as outdated.
//!
//! A stall is the gap between two calls of the same process, measured with its own monotonic clock. There are two limits because the
//! reactions differ in cost:
//!
//! - [`STALL_THRESHOLD`](cloverfold_base::STALL_THRESHOLD), 100 ms: messages of peers may still be unread. Their silence during the stall
//!   does not count, and missing messages are not treated as failures during a [`CatchUp`]. If this was unnecessary, a real failure is
//!   detected later.
//! - [`JOB_STALL_LIMIT`], 700 ms: callers of open jobs, and of requests that arrived during the stall, may have resubmitted them elsewhere.
//!   The dispatcher gives up all jobs (`Dispatcher::give_up_after_stall`), and the entry refuses requests ([`is_request_outdated`]). If
//!   this was unnecessary, the work already done for them is lost, or they need another attempt.
//!
//! [`JOB_STALL_LIMIT`] must stay well below the resend interval of callers
//! ([`DEFAULT_RESEND_INTERVAL`](crate::DEFAULT_RESEND_INTERVAL), 1,300 ms).

use std::time::Duration;

use cloverfold_base::Timestamp;

/// Maximum gap between two calls of a dispatcher; after a longer one it gives up its open jobs.
///
/// A caller may then have disconnected unnoticed and resubmitted its job elsewhere. A task that is started for it now could run twice at
/// the same time.
pub const JOB_STALL_LIMIT: Duration = Duration::from_millis(700);

/// Returns whether a request that is read now may be so old that its caller has resubmitted it elsewhere: the process has not ticked for
/// longer than [`JOB_STALL_LIMIT`].
pub fn is_request_outdated(last_tick_at: Timestamp, now: Timestamp) -> bool {
    now > last_tick_at + JOB_STALL_LIMIT
}

/// The period after a stall in which a process reads the messages that arrived meanwhile and does not treat missing ones as failures.
///
/// It lasts for one heartbeat interval, in which every live peer is heard from. The next period begins at least one heartbeat interval
/// after this one ends, so that a process that stalls repeatedly still detects failures.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CatchUp {
    until: Timestamp,
}

impl CatchUp {
    /// Begins a period after a stall, unless the previous one ended less than a heartbeat interval ago.
    pub(crate) fn begin(&mut self, heartbeat: Duration, now: Timestamp) {
        if now >= self.until + heartbeat {
            self.until = now + heartbeat;
        }
    }

    /// Returns whether the period has not ended.
    pub(crate) fn is_active(self, now: Timestamp) -> bool {
        now < self.until
    }
}
