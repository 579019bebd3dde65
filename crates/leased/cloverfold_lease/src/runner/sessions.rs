//! Decision: how long sessions with dispatchers are valid, and what ends with them.
//!
//! Opens, prolongs and ends sessions. Owns no state besides the runner's.
//! Relies on `stops` to end the runs of a session, on `reports` for the first messages to a new one.
//!
//! A dispatcher counts the runs of a session as over some time after its last echo; see [`Timings`](crate::Timings). That
//! holds only because a session here ends [`Timings::session_timeout`](crate::Timings::session_timeout) after the runner's own clock reading that was echoed.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal, SessionId, TaskId};
use crate::runner::run::Run;
use crate::runner::session::Session;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Begins a session with a dispatcher's process.
    pub fn open_session(&mut self, session: SessionId, now: Timestamp) {
        let valid_until = now + self.timings.session_timeout;
        self.sessions.insert(session, Session::new(valid_until));
        self.send_heartbeat(session, now);
        self.announce_target();
    }

    /// Ends a session whose link is closed; its runs are stopped.
    pub fn close_session(&mut self, session: SessionId, now: Timestamp) {
        if self.sessions.remove(&session).is_some() {
            self.stop_session_runs(session, now);
        }
    }

    /// Offers no target to a session any more, or offers it again. What is assigned to a retired session goes on, and assignments that
    /// were under way are accepted, so that leaving a dispatcher cuts nothing.
    pub fn retire_session(&mut self, session: SessionId, is_retired: bool) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.is_retired = is_retired;
            self.announce_target();
        }
    }

    /// Counts the runs of a session that are not certainly over.
    pub fn count_session_runs(&self, session: SessionId) -> usize {
        let is_of_session = |run: &&Run| run.session == Some(session);
        self.runs.values().filter(is_of_session).count()
    }

    /// Prolongs a session from the clock reading that its dispatcher echoed; a reading from the future counts as one from now.
    pub(super) fn receive_echo(&mut self, session: SessionId, clock: Timestamp, now: Timestamp) {
        let span = self.timings.session_timeout;
        if let Some(session) = self.sessions.get_mut(&session) {
            session.prolong(clock.min(now) + span);
        }
    }

    /// Ends the sessions whose dispatchers have sent no echo in time; after a stall of this process they are in doubt first (`own_stall`).
    pub(super) fn expire_sessions(&mut self, now: Timestamp) {
        if self.catch_up.is_active(now) {
            return;
        }
        let over: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.is_over(now))
            .map(|(id, _)| *id)
            .collect();
        for session in over {
            self.counts.expired_sessions += 1;
            self.actions.push(RunnerAction::CloseSession(session));
            self.close_session(session, now);
        }
    }

    /// Stops all that a session has assigned; these ends are not reported.
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
