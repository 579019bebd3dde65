//! Handling of a stall of this process.
//!
//! Answers of the target and echoes that arrived during the stall are still unread, so after a stall
//!
//! - missing answers of the target during the stall do not count;
//! - a session that has expired meanwhile is *in doubt* during the [`CatchUp`](crate::stall::CatchUp): its runs go on, but nothing starts
//!   and the target's lease is not extended. An echo of a clock reading from after the stall makes the session valid again; otherwise it
//!   ends with the catch-up.
//!
//! Otherwise a healthy target would get no work, and the runner would stop runs that their dispatcher still waits for.
//!
//! This cannot make two runs of a task overlap. A dispatcher starts a task again no earlier than
//! [`Timings::run_end_bound`](crate::Timings::run_end_bound) after its last echo. That span already allows for a runner that freezes
//! when its session ends, so that its last lease extension must lapse; a session in doubt extends no lease. A dispatcher that echoes a
//! reading from after the stall still has the session.
//!
//! The process must call [`Runner::allow_for_stall`] before anything else after a stall, but not after a suspension of the box: then the
//! target's clock may have stopped too, and its lease may outlive the session by the length of the suspension.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::SessionId;
use crate::runner::Runner;
use crate::timings::TargetTime;

impl Runner {
    /// Compensates for a stall of this process; call it before anything else after the stall.
    pub fn allow_for_stall(&mut self, stall: Duration, now: Timestamp) {
        if let Some(target) = &mut self.target {
            target.answered_at += stall;
        }
        self.catch_up.begin(self.timings.heartbeat_interval, now);
        let sessions: Vec<SessionId> = self.sessions.keys().copied().collect();
        for session in sessions {
            self.send_heartbeat(session, now);
        }
    }

    /// Returns a lease deadline on the target's clock for an order; `None` while the lease must not be extended.
    pub(super) fn extend_lease(&mut self, now: Timestamp) -> Option<TargetTime> {
        if self.has_session_in_doubt(now) {
            return None;
        }
        let lease = self.timings.lease_duration;
        self.target.as_mut()?.extend_lease(now, lease)
    }

    /// Returns whether a session has expired but is kept until the end of the catch-up.
    pub(super) fn has_session_in_doubt(&self, now: Timestamp) -> bool {
        let mut sessions = self.sessions.values();
        self.catch_up.is_active(now) && sessions.any(|session| session.has_expired(now))
    }
}
