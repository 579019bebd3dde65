//! What dispatchers are told unasked: heartbeats, free capacity, the target.
//!
//! For: the runner's side of the messages to dispatchers. Owns nothing beyond the runner's state; relies on [`Session`] for
//! what each dispatcher was told last.
//!
//! [`Session`]: crate::runner::session::Session

use cloverfold_base::Timestamp;

use crate::messages::{FreeCapacity, RunnerMessage, SessionId};
use crate::runner::session::Announcement;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Sends a heartbeat to every session whose last one is [`Timings::heartbeat`](crate::Timings::heartbeat) old.
    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let interval = self.timings.heartbeat;
        let due: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| now >= session.heartbeat_at + interval)
            .map(|(id, _)| *id)
            .collect();
        for session in due {
            self.send_heartbeat(session, now);
        }
    }

    pub(super) fn send_heartbeat(&mut self, session: SessionId, now: Timestamp) {
        let free_capacity = self.free_capacity_for(session, now);
        if let Some(state) = self.sessions.get_mut(&session) {
            state.heartbeat_at = now;
            let message = RunnerMessage::Heartbeat {
                clock: now,
                free_capacity,
            };
            self.actions.push(RunnerAction::Send(session, message));
        }
    }

    /// Reports the free capacity to every session that was told another one.
    ///
    /// Not only with the heartbeats: entries that know little of a target refuse work which would fit.
    pub(super) fn report_free_capacity(&mut self, now: Timestamp) {
        let free = self.free_after_waiting();
        let stale: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.reported_free != free)
            .map(|(id, _)| *id)
            .collect();
        for session in stale {
            let message = RunnerMessage::FreeCapacity(self.free_capacity_for(session, now));
            self.actions.push(RunnerAction::Send(session, message));
        }
    }

    /// Makes the report of free capacity for a session and records that it was made.
    pub(super) fn free_capacity_for(&mut self, session: SessionId, now: Timestamp) -> FreeCapacity {
        let free = self.free_after_waiting();
        // A run names its session only while that is open, so the session is there.
        let assignments_seen = self.sessions.get_mut(&session).map_or(0, |state| {
            state.reported_free = free;
            state.assignments_seen
        });
        let target = self.target.as_ref();
        let slowness = target.map(|target| target.performance.slowness_permille(now));
        FreeCapacity {
            free,
            assignments_seen,
            slowness_permille: slowness.unwrap_or(0),
        }
    }

    /// Tells each session of the target, if it was told something else before.
    ///
    /// While a run of an earlier session is not certainly over, no session is told of a target for the first time: being told lets
    /// a dispatcher conclude that nothing it lost sight of runs here.
    pub(super) fn announce_target(&mut self) {
        let has_leftovers = self.runs.values().any(|run| run.session.is_none());
        let target = self.target.as_ref();
        let offered = target.filter(|target| target.takes_work() && !self.is_leaving);
        let announcement = offered.map_or(Announcement::NoTarget, |target| {
            Announcement::Target(target.number())
        });
        for (id, session) in &mut self.sessions {
            if session.announced == announcement {
                continue;
            }
            let is_first_offer = announcement.names_target() && !session.announced.names_target();
            if is_first_offer && has_leftovers {
                continue;
            }
            session.announced = announcement;
            let message = RunnerMessage::Target(offered.map(|target| target.describe()));
            self.actions.push(RunnerAction::Send(*id, message));
        }
    }
}
