//! Decision: what a runner concludes from the silence of others after its own process was stalled.
//!
//! Rule:
//!
//! - the target's silence during the stall does not count;
//! - a session that has ended by time is in doubt in the [`CatchUp`](crate::stall::CatchUp): its runs go on, but nothing starts and the
//!   target's lease is not extended. An echo of a clock reading from after the stall makes it valid again, else it ends with the catch-up.
//!
//! Inputs: the length of the stall, the sessions. Reason: answers of the target and echoes that came during the stall are unread. Judged
//! by the clock alone, a target that is well gets no work, and runs are stopped that their dispatcher waits for.
//!
//! No run can overlap another for it. Its dispatcher begins a task again no earlier than
//! [`Timings::run_end_bound`](crate::Timings::run_end_bound) after its last echo. That reckons with a runner that is frozen when its session
//! ends, so that the lease which it extended last must lapse; a session in doubt extends none. A dispatcher that echoes a reading from
//! after the stall still has the session.
//!
//! Owns no state. Relies on the process to call [`Runner::allow_for_stall`] before anything else after a stall, unless the box
//! was suspended: then the target's clock may have stood still, and its lease may outlive the session by the suspension.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::SessionId;
use crate::runner::Runner;
use crate::timings::TargetTime;

impl Runner {
    /// Allows for a stall of this process of this length; call it before anything else after the stall.
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

    /// Returns a deadline on the target's clock, a lease from now, for an order that extends its lease; `None` while that is not to be
    /// extended.
    pub(super) fn extend_lease(&mut self, now: Timestamp) -> Option<TargetTime> {
        if self.has_session_in_doubt(now) {
            return None;
        }
        let lease = self.timings.lease_duration;
        self.target.as_mut()?.extend_lease(now, lease)
    }

    /// Returns whether a session is over by time and is not ended before the end of the catch-up.
    pub(super) fn has_session_in_doubt(&self, now: Timestamp) -> bool {
        let mut sessions = self.sessions.values();
        self.catch_up.is_active(now) && sessions.any(|session| session.is_over(now))
    }
}
