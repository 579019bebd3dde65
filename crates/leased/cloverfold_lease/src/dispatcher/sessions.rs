//! Sessions with runners: how they begin, what their messages change, and how they end.
//!
//! A session ends when its link is gone or its runner has been silent for the length of a session. Its runs may go on until the
//! bound [`Timings::run_end_bound`](crate::Timings::run_end_bound) has passed since the last echo; until then the session is kept as a [`LostSession`] and its
//! tasks wait.
//!
//! Owns [`LostSession`]; the sessions themselves are in `runner_session`. Relies on the process to report closed links.

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

/// Jobs that the report of a lost session names, so that a line of the log stays readable.
const MAX_NAMED_JOBS: usize = 24;

/// A session that ended while runs of it were under way.
#[derive(Clone, Debug)]
pub(crate) struct LostSession {
    runner: String,
    /// After this all its runs are over.
    over_at: Timestamp,
    tasks: Vec<LostTask>,
}

/// A task whose run was under way when its session was lost.
#[derive(Clone, Debug)]
struct LostTask {
    /// Its job; `None` if that is closed.
    job: Option<JobNumber>,
    id: TaskId,
}

impl Dispatcher {
    /// Begins a session with a runner's process.
    pub fn open_session(&mut self, session: SessionId, runner: &str, now: Timestamp) {
        let earlier = self.sessions.values().find(|other| other.runner == runner);
        let health = match earlier {
            Some(earlier) => earlier.health.clone(),
            None => TargetHealth::new(self.health_limits),
        };
        let opened = RunnerSession::new(runner, health, now);
        self.sessions.insert(session, opened);
    }

    /// Ends a session whose link is gone.
    pub fn close_session(&mut self, session: SessionId, now: Timestamp) {
        self.give_up_after_stall(now);
        let Some(closed) = self.sessions.remove(&session) else {
            return;
        };
        let mut tasks = self.suspend_tasks(session);
        tasks.extend(self.suspend_detached_runs(session));
        if tasks.is_empty() {
            return;
        }
        self.report(DispatcherEvent::SessionLost {
            runner: closed.runner.clone(),
            runs: tasks.len(),
            jobs: name_jobs(&tasks),
            last_echo: now.saturating_duration_since(closed.last_echo_at),
        });
        self.lost_sessions.push(LostSession {
            runner: closed.runner,
            over_at: closed.last_echo_at.min(now) + self.timings.run_end_bound(),
            tasks,
        });
    }

    /// Makes the tasks uncertain that a session has, and lists them.
    fn suspend_tasks(&mut self, session: SessionId) -> Vec<LostTask> {
        let mut suspended = Vec::new();
        for (number, job) in &mut self.jobs {
            for task in &mut job.tasks {
                if task.phase.is_assigned_to(session) {
                    task.phase = TaskPhase::Uncertain;
                    job.has_run = true;
                    suspended.push(LostTask {
                        job: Some(*number),
                        id: task.id.clone(),
                    });
                }
            }
        }
        suspended
    }

    /// Makes the detached runs uncertain that a session has, and lists their tasks.
    fn suspend_detached_runs(&mut self, session: SessionId) -> Vec<LostTask> {
        let mut suspended = Vec::new();
        for (id, run) in &mut self.detached_runs {
            if matches!(run, DetachedRun::At { session: s, .. } if *s == session) {
                *run = DetachedRun::Uncertain;
                suspended.push(LostTask {
                    job: None,
                    id: id.clone(),
                });
            }
        }
        suspended
    }

    /// Handles a message of a runner.
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
                let ran = Duration::from_millis(u64::from(ran_ms));
                self.run_ended(session, &task, run, outcome, ran, now);
            }
            RunnerMessage::UsualSpeed(speed) => runner.usual_speed = speed,
        }
        self.place_unless_catching_up(now);
    }

    /// Handles the announcement of a runner's target. A runner announces one only when nothing of earlier sessions runs there, so the
    /// runner's lost sessions are released.
    fn receive_target(&mut self, session: SessionId, description: Option<TargetDescription>) {
        let Some(runner) = self.sessions.get_mut(&session) else {
            return;
        };
        let is_offered = description.is_some();
        if runner.record_target(description) {
            runner.health = TargetHealth::new(self.health_limits);
        }
        if is_offered {
            let name = runner.runner.clone();
            self.release_lost_sessions(|lost| lost.runner == name);
        }
    }

    /// Counts a trouble against the target of a session; it may be paused by it.
    pub(super) fn record_failure(&mut self, session: SessionId, now: Timestamp) {
        if let Some(target) = self.sessions.get_mut(&session)
            && target.health.record_failure(now)
        {
            let runner = target.runner.clone();
            self.counts.pauses += 1;
            self.report(DispatcherEvent::TargetPaused { runner });
        }
    }

    /// Closes the sessions whose runner was silent for the length of a session: it may be frozen or cut off.
    pub(super) fn close_silent_sessions(&mut self, now: Timestamp) {
        let limit = self.timings.session_timeout;
        let silent: Vec<SessionId> = self
            .sessions
            .iter()
            .filter(|(_, runner)| now > runner.last_message_at + limit)
            .map(|(session, _)| *session)
            .collect();
        for session in silent {
            self.actions.push(DispatcherAction::CloseSession(session));
            self.close_session(session, now);
        }
    }

    /// Queues the tasks again of the lost sessions whose runs are over by time.
    pub(super) fn release_expired_lost_sessions(&mut self, now: Timestamp) {
        self.release_lost_sessions(|lost| now >= lost.over_at);
    }

    /// Forgets the lost sessions whose runs are all over, and queues their tasks again.
    fn release_lost_sessions(&mut self, is_over: impl Fn(&LostSession) -> bool) {
        let (over, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.lost_sessions)
            .into_iter()
            .partition(is_over);
        self.lost_sessions = open;
        for task in over.into_iter().flat_map(|lost| lost.tasks) {
            self.release_task(&task);
        }
    }

    /// Queues a task of a lost session again, or forgets its run if its job is closed.
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
            && job.tasks[index].phase == TaskPhase::Uncertain
        {
            self.counts.lost += 1;
            if job.is_kept() {
                self.hand_back(TaskPosition { job: number, index });
            } else {
                self.queue_task(TaskPosition { job: number, index });
            }
        }
    }
}

/// Lists the jobs of tasks, each once, [`MAX_NAMED_JOBS`] at the most.
fn name_jobs(tasks: &[LostTask]) -> Vec<String> {
    let mut jobs: Vec<String> = tasks.iter().map(|task| task.id.job.clone()).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.truncate(MAX_NAMED_JOBS);
    jobs
}
