//! Opening, extension and expiry of sessions with dispatchers.
//!
//! A dispatcher considers the runs of a session ended a fixed time after its last echo, see [`Timings`](crate::Timings). That is correct
//! only because a session ends [`Timings::session_timeout`](crate::Timings::session_timeout) after the runner's own clock reading that was
//! echoed.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, SessionId, TaskId};
use crate::runner::run::Run;
use crate::runner::session::Session;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Opens a session with a dispatcher.
    pub fn open_session(&mut self, session: SessionId, now: Timestamp) {
        let valid_until = now + self.timings.session_timeout;
        self.sessions.insert(session, Session::new(valid_until));
        self.send_heartbeat(session, now);
        self.announce_target();
    }

    /// Closes a session whose link is closed, and stops its runs.
    pub fn close_session(&mut self, session: SessionId, now: Timestamp) {
        if self.sessions.remove(&session).is_some() {
            self.stop_session_runs(session, now);
        }
    }

    /// Stops offering the target to a session, or offers it again. Its runs go on, and assignments in flight are still accepted, so that
    /// leaving a dispatcher interrupts no run.
    pub fn retire_session(&mut self, session: SessionId, is_retired: bool) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.is_retired = is_retired;
            self.announce_target();
        }
    }

    /// Returns the number of runs of a session whose end is not certain.
    pub fn count_session_runs(&self, session: SessionId) -> usize {
        let is_of_session = |run: &&Run| run.session == Some(session);
        self.runs.values().filter(is_of_session).count()
    }

    /// Extends a session from the echoed clock reading; a reading in the future is clamped to `now`.
    pub(super) fn receive_echo(&mut self, session: SessionId, clock: Timestamp, now: Timestamp) {
        let span = self.timings.session_timeout;
        if let Some(session) = self.sessions.get_mut(&session) {
            session.extend_until(clock.min(now) + span);
        }
    }

    /// Closes the sessions whose dispatchers sent no echo in time; during the catch-up after a stall they stay in doubt (`own_stall`).
    pub(super) fn expire_sessions(&mut self, now: Timestamp) {
        if self.catch_up.is_active(now) {
            return;
        }
        let expired: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.has_expired(now))
            .map(|(id, _)| *id)
            .collect();
        for session in expired {
            self.counts.expired_sessions += 1;
            self.actions.push(RunnerAction::CloseSession(session));
            self.close_session(session, now);
        }
    }

    /// Stops all runs of a session; their ends are not reported.
    fn stop_session_runs(&mut self, session: SessionId, now: Timestamp) {
        let tasks: Vec<TaskId> = self
            .runs
            .iter()
            .filter(|(_, run)| run.session == Some(session))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            if let Some(run) = self.runs.get_mut(&task) {
                run.session = None;
            }
            self.stop_run(&task, RunOutcome::NotStarted(RunRefusal::Withdrawn), now);
        }
    }
}
