//! Decision: what a dispatcher concludes from the silence of others after its own process was stalled.
//!
//! Rule:
//!
//! - a runner's silence during the stall does not count towards the end of its session;
//! - a runner whose session may be over at its side gets no work before its next heartbeat;
//! - in the [`CatchUp`](crate::stall::CatchUp) no run counts as overdue, no job is given up or refused for its age or for want of a target,
//!   and tasks are placed at ticks alone, when all that had arrived has been read.
//!
//! Inputs: the length of the stall. Reason: reports of ends, heartbeats and closed links that came during the stall are read one after the
//! other after it. Judged by the clock alone before that, runs that are done are withdrawn and begun again, sessions with runners that
//! are alive are closed, and jobs that are done are given up.
//!
//! No run can overlap another for it: when the runs of a lost session are over is reckoned from its last echo, not from its end.
//!
//! Owns no state. Relies on the process to call [`Dispatcher::allow_for_stall`] before anything else after a stall.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;

impl Dispatcher {
    /// Allows for a stall of this process of this length; call it before anything else after the stall.
    pub fn allow_for_stall(&mut self, stall: Duration, now: Timestamp) {
        let session_span = self.timings.session_timeout;
        for runner in self.sessions.values_mut() {
            runner.allow_for_stall(stall, session_span, now);
        }
        self.catch_up.begin(self.timings.heartbeat_interval, now);
    }

    /// Assigns waiting tasks, unless messages are still unread that may change where they fit; the next tick does it then.
    pub(super) fn place_unless_catching_up(&mut self, now: Timestamp) {
        if !self.catch_up.is_active(now) {
            self.place_waiting(now);
        }
    }
}
