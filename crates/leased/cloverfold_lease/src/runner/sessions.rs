//! Sessions with dispatchers: how long they are valid and what ends with them.

use cloverfold_base::Timestamp;

use crate::messages::{Refusal, Room, RunOutcome, RunnerMessage, SessionId, TaskId};
use crate::resources::Resources;
use crate::runner::{Runner, RunnerAction};

/// A session with one dispatcher.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    valid_until: Timestamp,
    pub(crate) assignments_seen: u64,
    pub(crate) heartbeat_at: Timestamp,
    /// What was reported as free last.
    reported: Resources,
    /// The description that the dispatcher was told last: none before the first.
    pub(crate) announced: Option<Option<u64>>,
}

impl Session {
    pub(crate) fn new(valid_until: Timestamp) -> Self {
        Self {
            valid_until,
            assignments_seen: 0,
            heartbeat_at: Timestamp::ZERO,
            reported: Resources::default(),
            announced: None,
        }
    }

    pub(crate) fn prolong(&mut self, valid_until: Timestamp) {
        self.valid_until = self.valid_until.max(valid_until);
    }

    pub(crate) fn is_over(&self, now: Timestamp) -> bool {
        now > self.valid_until
    }
}

impl Runner {
    /// Ends the sessions that no dispatcher vouches for any more.
    pub(super) fn expire_sessions(&mut self, now: Timestamp) {
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

    /// Stops all that a session has assigned; nobody is told of these ends.
    pub(super) fn stop_session_tasks(&mut self, session: SessionId, now: Timestamp) {
        let tasks: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, held)| held.session == Some(session))
            .map(|(task, _)| task.clone())
            .collect();
        for task in tasks {
            if let Some(held) = self.tasks.get_mut(&task) {
                held.session = None;
            }
            self.stop_task(task, RunOutcome::NotStarted(Refusal::Withdrawn), now);
        }
    }

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

    /// Tells every session of room that has changed since it was told: entries that know little refuse work which would fit.
    pub(super) fn report_room(&mut self, now: Timestamp) {
        let free = self.free_after_waiting();
        let stale: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| session.reported != free)
            .map(|(id, _)| *id)
            .collect();
        for session in stale {
            let message = RunnerMessage::Room(self.room_for(session, now));
            self.actions.push(RunnerAction::Send(session, message));
        }
    }

    pub(super) fn send_heartbeat(&mut self, session: SessionId, now: Timestamp) {
        let room = self.room_for(session, now);
        if let Some(held) = self.sessions.get_mut(&session) {
            held.heartbeat_at = now;
            let message = RunnerMessage::Heartbeat { clock: now, room };
            self.actions.push(RunnerAction::Send(session, message));
        }
    }

    /// Tells each session of the target, if it was told something else before.
    ///
    /// While a run of an earlier session is not surely over, no session is told of a target: being told lets a dispatcher
    /// conclude that nothing it lost sight of runs here.
    pub(super) fn announce_target(&mut self) {
        let has_leftovers = self.tasks.values().any(|held| held.session.is_none());
        let target = self.target.as_ref();
        let offered = target.filter(|target| target.takes_work() && !self.is_leaving);
        let life = offered.map(|target| target.life());
        for (id, session) in &mut self.sessions {
            if session.announced == Some(life) {
                continue;
            }
            let is_first_offer = session.announced.flatten().is_none() && life.is_some();
            if is_first_offer && has_leftovers {
                continue;
            }
            session.announced = Some(life);
            let description = offered.map(|target| target.describe());
            let message = RunnerMessage::Target(description);
            self.actions.push(RunnerAction::Send(*id, message));
        }
    }
}

impl Runner {
    /// Makes the report for a session.
    pub(super) fn room_for(&mut self, session: SessionId, now: Timestamp) -> Room {
        let free = self.free_after_waiting();
        let held = self.sessions.get_mut(&session);
        let assignments_seen = held.map_or(0, |held| {
            held.reported = free;
            held.assignments_seen
        });
        let target = self.target.as_ref();
        let slowness_permille = target.map_or(0, |target| target.conduct.slowness_permille(now));
        Room {
            free,
            assignments_seen,
            slowness_permille,
        }
    }
}
