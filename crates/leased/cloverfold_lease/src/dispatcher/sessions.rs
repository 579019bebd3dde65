//! Lifecycle of the sessions with runners, and handling of runner messages.
//!
//! A session closes when its link closes or when its runner has been silent for the session timeout. Its runs may continue until
//! [`Timings::run_end_bound`](crate::Timings::run_end_bound) has passed since the last echo. Until then the session is tracked as a
//! [`LostSession`] and its tasks are not assigned again.
//!
//! The state of open sessions is in `runner_session`. The process reports closed links.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::actions::DispatcherAction;
use crate::dispatcher::closing::DetachedRun;
use crate::dispatcher::events::DispatcherEvent;
use crate::dispatcher::job::{JobNumber, TaskPhase, TaskPosition};
use crate::dispatcher::runner_session::RunnerSession;
use crate::health::TargetHealth;
use crate::messages::{DispatcherMessage, RunnerMessage, SessionId, TargetDescription, TaskId};

/// Limits the length of the log line about a lost session.
const MAX_REPORTED_JOBS: usize = 24;

/// A closed session with runs that may not have ended.
#[derive(Clone, Debug)]
pub(crate) struct LostSession {
    runner_name: String,
    /// Time at which all its runs have certainly ended.
    runs_ended_by: Timestamp,
    tasks: Vec<LostTask>,
}

/// A task with a run in progress when its session was lost.
#[derive(Clone, Debug)]
struct LostTask {
    /// `None` if the job is closed.
    job: Option<JobNumber>,
    id: TaskId,
}

impl Dispatcher {
    /// Opens a session with a runner.
    ///
    /// If the runner has an earlier session, the new one takes over the health of its target.
    pub fn open_session(&mut self, session: SessionId, runner_name: &str, now: Timestamp) {
        let earlier = self
            .sessions
            .values()
            .find(|other| other.runner_name == runner_name);
        let health = match earlier {
            Some(earlier) => earlier.health.clone(),
            None => TargetHealth::new(self.health_limits),
        };
        let opened = RunnerSession::new(runner_name, health, now);
        self.sessions.insert(session, opened);
    }

    /// Closes a session whose link is closed.
    pub fn close_session(&mut self, session: SessionId, now: Timestamp) {
        self.give_up_after_stall(now);
        let Some(closed) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(target) = &closed.description {
            self.targets.remove(session, target);
        }
        let mut tasks = self.mark_tasks_uncertain(session);
        tasks.extend(self.mark_detached_runs_uncertain(session));
        if tasks.is_empty() {
            return;
        }
        self.report(DispatcherEvent::SessionLost {
            runner: closed.runner_name.clone(),
            runs: tasks.len(),
            jobs: list_job_names(&tasks),
            last_echo: now.saturating_duration_since(closed.last_echo_at),
        });
        self.lost_sessions.push(LostSession {
            runner_name: closed.runner_name,
            runs_ended_by: closed.last_echo_at.min(now) + self.timings.run_end_bound(),
            tasks,
        });
    }

    /// Marks the tasks of a session as uncertain and returns them.
    fn mark_tasks_uncertain(&mut self, session: SessionId) -> Vec<LostTask> {
        let mut lost = Vec::new();
        for (number, job) in &mut self.jobs {
            for index in 0..job.tasks.len() {
                if job.tasks[index].phase().is_assigned_to(session) {
                    job.set_phase(index, TaskPhase::Uncertain);
                    job.has_run = true;
                    lost.push(LostTask {
                        job: Some(*number),
                        id: job.tasks[index].id.clone(),
                    });
                }
            }
        }
        lost
    }

    /// Marks the detached runs of a session as uncertain and returns their tasks.
    fn mark_detached_runs_uncertain(&mut self, session: SessionId) -> Vec<LostTask> {
        let mut lost = Vec::new();
        for (id, run) in &mut self.detached_runs {
            if matches!(run, DetachedRun::Assigned { session: s, .. } if *s == session) {
                *run = DetachedRun::Uncertain;
                lost.push(LostTask {
                    job: None,
                    id: id.clone(),
                });
            }
        }
        lost
    }

    /// Handles a message from a runner.
    pub fn receive(&mut self, session: SessionId, message: RunnerMessage, now: Timestamp) {
        self.give_up_after_stall(now);
        let Some(runner) = self.sessions.get_mut(&session) else {
            return;
        };
        runner.last_message_at = now;
        match message {
            RunnerMessage::Heartbeat {
                clock,
                free_capacity,
            } => {
                runner.record_free_capacity(free_capacity);
                runner.record_echo(clock, now);
                let echo = DispatcherMessage::Echo { clock };
                self.actions.push(DispatcherAction::Send(session, echo));
            }
            RunnerMessage::FreeCapacity(free_capacity) => {
                runner.record_free_capacity(free_capacity);
            }
            RunnerMessage::Target(description) => self.receive_target(session, description),
            RunnerMessage::Ended {
                task,
                run,
                outcome,
                ran_ms,
                free_capacity,
            } => {
                runner.record_free_capacity(free_capacity);
                let run_duration = Duration::from_millis(u64::from(ran_ms));
                self.handle_run_end(session, &task, run, outcome, run_duration, now);
            }
            RunnerMessage::UsualSpeed(speed) => runner.usual_speed = speed,
            RunnerMessage::Started(runs) => self.handle_started_runs(session, &runs),
        }
        self.place_unless_catching_up(now);
    }

    /// Handles the announcement of a runner's target.
    ///
    /// A runner announces a target only when no run of an earlier session is left there, so its lost sessions are released.
    fn receive_target(&mut self, session: SessionId, description: Option<TargetDescription>) {
        let Some(runner) = self.sessions.get_mut(&session) else {
            return;
        };
        if let Some(target) = &runner.description {
            self.targets.remove(session, target);
        }
        if let Some(target) = &description {
            self.targets.insert(session, target);
        }
        let is_announced = description.is_some();
        if runner.record_target(description) {
            runner.health = TargetHealth::new(self.health_limits);
        }
        if is_announced {
            let name = runner.runner_name.clone();
            self.release_lost_sessions(|lost| lost.runner_name == name);
        }
    }

    /// Records a failure of the target of a session, which may pause the target.
    pub(super) fn record_failure(&mut self, session: SessionId, now: Timestamp) {
        if let Some(target) = self.sessions.get_mut(&session)
            && target.health.record_failure(now)
        {
            let runner = target.runner_name.clone();
            self.counts.pauses += 1;
            self.report(DispatcherEvent::TargetPaused { runner });
        }
    }

    /// Closes the sessions whose runner has been silent for the session timeout; it may be frozen or disconnected.
    pub(super) fn close_silent_sessions(&mut self, now: Timestamp) {
        let timeout = self.timings.session_timeout;
        let silent: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, runner)| now > runner.last_message_at + timeout)
            .map(|(session, _)| *session)
            .collect();
        for session in silent {
            self.actions.push(DispatcherAction::CloseSession(session));
            self.close_session(session, now);
        }
    }

    /// Releases the lost sessions whose runs have certainly ended by now.
    pub(super) fn release_expired_lost_sessions(&mut self, now: Timestamp) {
        self.release_lost_sessions(|lost| now >= lost.runs_ended_by);
    }

    /// Removes the lost sessions whose runs have all ended, and releases their tasks.
    fn release_lost_sessions(&mut self, is_over: impl Fn(&LostSession) -> bool) {
        let (over, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.lost_sessions)
            .into_iter()
            .partition(is_over);
        self.lost_sessions = open;
        for task in over.into_iter().flat_map(|lost| lost.tasks) {
            self.release_task(&task);
        }
    }

    /// Queues a task of a lost session again. If its job is closed, only its detached run is removed. If its job is kept, the job is
    /// released to its group.
    fn release_task(&mut self, lost: &LostTask) {
        if self.detached_runs.get(&lost.id) == Some(&DetachedRun::Uncertain) {
            self.detached_runs.remove(&lost.id);
        }
        let Some(number) = lost.job else {
            return;
        };
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if let Some(index) = job.find_task(&lost.id)
            && job.tasks[index].phase() == TaskPhase::Uncertain
        {
            self.counts.lost += 1;
            if job.is_kept() {
                self.release_job(TaskPosition { job: number, index });
            } else {
                self.queue_task(TaskPosition { job: number, index });
            }
        }
    }
}

/// Returns the distinct job names of tasks, at most [`MAX_REPORTED_JOBS`].
fn list_job_names(tasks: &[LostTask]) -> Vec<String> {
    let mut jobs: Vec<String> = tasks.iter().map(|task| task.id.job.clone()).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.truncate(MAX_REPORTED_JOBS);
    jobs
}
