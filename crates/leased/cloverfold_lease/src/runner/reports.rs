//! Unsolicited messages to dispatchers: heartbeats, started runs, free capacity, the usual speed and the target.
//!
//! [`Session`] tracks what was last reported to each dispatcher.
//!
//! [`Session`]: crate::runner::session::Session

use cloverfold_base::Timestamp;

use crate::messages::{FreeCapacity, RunnerMessage, SessionId, StartedRun};
use crate::runner::session::Announcement;
use crate::runner::usual_speed::differs_notably;
use crate::runner::{Runner, RunnerAction};

impl Runner {
    /// Sends a heartbeat to every session whose last one is [`Timings::heartbeat_interval`](crate::Timings::heartbeat_interval) ago.
    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let interval = self.timings.heartbeat_interval;
        let due: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| now >= session.heartbeat_at + interval)
            .map(|(id, _)| *id)
            .collect();
        for session in due {
            self.report_starts(session);
            self.send_heartbeat(session, now);
        }
    }

    /// Reports the runs of a session whose start the target has confirmed since the last report.
    fn report_starts(&mut self, session: SessionId) {
        let runs = self.runs.iter_mut();
        let of_session = runs.filter(|(_, run)| run.session == Some(session));
        let unreported = of_session.filter_map(|(task, run)| {
            run.take_unreported_start().then(|| StartedRun {
                task: task.clone(),
                run: run.number,
            })
        });
        let started: Vec<StartedRun> = unreported.collect();
        if !started.is_empty() {
            let message = RunnerMessage::Started(started);
            self.actions.push(RunnerAction::Send(session, message));
        }
    }

    /// Sends a heartbeat with the clock reading that the dispatcher echoes.
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

    /// Reports the free capacity to every session that is not retired and whose last report differs.
    ///
    /// Heartbeats alone would be too late: a dispatcher that does not know of free capacity refuses work that would fit.
    pub(super) fn report_free_capacity(&mut self, now: Timestamp) {
        let free = self.free_after_waiting();
        let stale: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, session)| !session.is_retired && session.reported_free != free)
            .map(|(id, _)| *id)
            .collect();
        for session in stale {
            let message = RunnerMessage::FreeCapacity(self.free_capacity_for(session, now));
            self.actions.push(RunnerAction::Send(session, message));
        }
    }

    /// Reports the usual speed of the target to each session whose last report differs notably.
    pub(super) fn report_usual_speed(&mut self) {
        let known = self.usual_speed_estimator.current();
        for (id, session) in &mut self.sessions {
            if !differs_notably(session.reported_speed, known) {
                continue;
            }
            session.reported_speed = known;
            let message = RunnerMessage::UsualSpeed(known);
            self.actions.push(RunnerAction::Send(*id, message));
        }
    }

    /// Returns the free capacity for a session and records it as reported.
    pub(super) fn free_capacity_for(&mut self, session: SessionId, now: Timestamp) -> FreeCapacity {
        let free = self.free_after_waiting();
        // A run refers to its session only while that is open, so the session exists.
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

    /// Announces the target, or that none accepts work, to each session whose last announcement differs.
    ///
    /// While the end of a run of an earlier session is not certain, no target is announced to a session without one: the dispatcher
    /// concludes from the announcement that no run of its lost sessions is left here.
    pub(super) fn announce_target(&mut self) {
        let has_leftovers = self.runs.values().any(|run| run.session.is_none());
        let target = self.target.as_ref();
        let available = target
            .filter(|target| target.accepts_work() && !self.is_draining && !self.is_evacuated);
        let available = available.filter(|_| !self.is_target_held());
        for (id, session) in &mut self.sessions {
            let offered = available.filter(|_| !session.is_retired);
            let announcement = offered.map_or(Announcement::NoTarget, |target| {
                Announcement::Target(target.number())
            });
            if session.announced == announcement {
                continue;
            }
            let is_first_offer = announcement.has_target() && !session.announced.has_target();
            if is_first_offer && has_leftovers {
                continue;
            }
            session.announced = announcement;
            let message = RunnerMessage::Target(offered.map(|target| target.describe()));
            self.actions.push(RunnerAction::Send(*id, message));
        }
    }
}
