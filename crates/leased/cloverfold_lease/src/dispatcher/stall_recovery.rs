//! Handling of stalls of the dispatcher's own process.
//!
//! Messages that arrived during a stall are read one after the other when it ends. If the dispatcher judged by the clock alone before it
//! has read them, it would withdraw runs that are done, close sessions with live runners and give up completed jobs. Therefore:
//!
//! - The silence of a runner during the stall does not count towards the timeout of its session.
//! - A runner whose session may have expired on its side receives no work before its next heartbeat.
//! - During the [`CatchUp`](crate::stall::CatchUp) period, no run counts as overdue, no job is given up or refused because of its age or
//!   because no target is available, and tasks are assigned only in ticks, when all messages that had arrived have been read.
//!
//! This cannot cause overlapping runs, because the time at which the runs of a lost session have ended is computed from its last echo.
//!
//! The process calls [`Dispatcher::allow_for_stall`] before anything else after a stall.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;

impl Dispatcher {
    /// Compensates for a stall of this process; must be called before anything else after the stall.
    pub fn allow_for_stall(&mut self, stall: Duration, now: Timestamp) {
        let session_timeout = self.timings.session_timeout;
        for runner in self.sessions.values_mut() {
            runner.allow_for_stall(stall, session_timeout, now);
        }
        self.catch_up.begin(self.timings.heartbeat_interval, now);
    }

    /// Assigns waiting tasks, except while catching up after a stall, when the next tick assigns them.
    pub(super) fn place_unless_catching_up(&mut self, now: Timestamp) {
        if !self.catch_up.is_active(now) {
            self.place_waiting(now);
        }
    }
}
