//! What a dispatcher knows of each runner and its target.

use std::collections::VecDeque;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::{
    Dispatcher, DispatcherAction, DispatcherEvent, EndingRun, JobNumber, TaskPhase,
};
use crate::health::TargetHealth;
use crate::messages::{
    DispatcherMessage, FreeCapacity, RunnerMessage, SessionId, TargetDescription, TaskId,
};
use crate::resources::Resources;

/// Jobs that the report of a lost session names.
const MAX_NAMED_JOBS: usize = 24;

/// Slowness, against all targets, from which a target is used only when no other has room.
const SLOW_FACTOR: f64 = 1.7;

/// A session with one runner.
#[derive(Clone, Debug)]
pub(crate) struct TargetView {
    /// Name of the runner's process, the same over its lives.
    pub(crate) runner: String,
    pub(crate) description: Option<TargetDescription>,
    free_capacity: FreeCapacity,
    /// Demands assigned over this session that `free_capacity` does not account for yet.
    unseen: VecDeque<Resources>,
    assignments_sent: u64,
    /// The runner's clock reading that was echoed last.
    pub(crate) echoed_clock: Option<Timestamp>,
    echoed_at: Timestamp,
    heard_at: Timestamp,
    pub(crate) health: TargetHealth,
}

/// A session that ended while runs of it were under way.
#[derive(Clone, Debug)]
pub(crate) struct LostSession {
    runner: String,
    /// After this all its runs are surely over.
    over_at: Timestamp,
    /// With the number of their job, 0 if it is closed.
    tasks: Vec<(JobNumber, TaskId)>,
}

impl TargetView {
    pub(crate) fn takes_work(&self, now: Timestamp) -> bool {
        self.description.is_some() && self.echoed_clock.is_some() && self.health.takes_work(now)
    }

    pub(crate) fn serves(&self, service: &str) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.service == service)
    }

    pub(crate) fn has_label(&self, label: &str) -> bool {
        let description = self.description.as_ref();
        description.is_some_and(|description| description.labels.iter().any(|l| l == label))
    }

    /// Returns what is free, less what was assigned and is not accounted for.
    pub(crate) fn free(&self) -> Resources {
        let unseen = self.unseen.iter();
        unseen.fold(self.free_capacity.free, |free, demand| free.minus(demand))
    }

    /// Returns the share of the processors that would be free after `demand`.
    pub(crate) fn free_share_after(&self, demand: &Resources) -> f64 {
        let capacity = self
            .description
            .as_ref()
            .map_or(1, |d| d.capacity.cpu_milli.max(1));
        (self.free().cpu_milli - demand.cpu_milli) as f64 / capacity as f64
    }

    /// Returns how slowly runs get on there, in thousandths of their estimated durations; 0 while it is not known.
    pub(crate) fn slowness_permille(&self) -> u32 {
        self.free_capacity.slowness_permille
    }

    /// Returns how slowly runs get on there against `usual`, the ratio over all targets; 1 while it is not known.
    pub(crate) fn slowness_against(&self, usual: f64) -> f64 {
        match self.free_capacity.slowness_permille {
            0 => 1.0,
            permille => f64::from(permille) / (1_000.0 * usual),
        }
    }

    /// Says whether the target is used only when no other has room.
    pub(crate) fn is_slow(&self, usual: f64) -> bool {
        self.slowness_against(usual) > SLOW_FACTOR
    }

    /// Returns how old the newest message of the runner is.
    pub(crate) fn report_age(&self, now: Timestamp) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }

    pub(crate) fn note_assignment(&mut self, demand: Resources) {
        self.assignments_sent += 1;
        self.unseen.push_back(demand);
    }

    fn record_free_capacity(&mut self, free_capacity: FreeCapacity) {
        self.free_capacity = free_capacity;
        let unseen = self
            .assignments_sent
            .saturating_sub(free_capacity.assignments_seen);
        while self.unseen.len() as u64 > unseen {
            self.unseen.pop_front();
        }
    }

    /// Says that the target is full until its runner reports again.
    pub(crate) fn note_full(&mut self) {
        self.free_capacity.free.cpu_milli = self.free_capacity.free.cpu_milli.min(0);
    }
}

impl Dispatcher {
    /// Begins a session with a runner's process.
    pub fn open_session(&mut self, session: SessionId, runner: &str, now: Timestamp) {
        let held = self.targets.values().find(|view| view.runner == runner);
        let health = match held {
            Some(view) => view.health.clone(),
            None => TargetHealth::new(self.health_limits),
        };
        let view = TargetView {
            runner: runner.into(),
            description: None,
            free_capacity: FreeCapacity::default(),
            unseen: VecDeque::new(),
            assignments_sent: 0,
            echoed_clock: None,
            echoed_at: now,
            heard_at: now,
            health,
        };
        self.targets.insert(session, view);
    }

    /// Ends a session whose link is gone.
    pub fn close_session(&mut self, session: SessionId, now: Timestamp) {
        self.notice_stall(now);
        let Some(view) = self.targets.remove(&session) else {
            return;
        };
        let mut tasks = Vec::new();
        for (number, job) in &mut self.jobs {
            for task in &mut job.tasks {
                let is_there =
                    matches!(task.phase, TaskPhase::Assigned { session: s, .. } if s == session);
                if is_there {
                    task.phase = TaskPhase::Uncertain;
                    job.has_run = true;
                    tasks.push((*number, task.id.clone()));
                }
            }
        }
        for (id, ending) in &mut self.ending {
            if matches!(ending, EndingRun::At { session: s, .. } if *s == session) {
                *ending = EndingRun::Uncertain;
                tasks.push((0, id.clone()));
            }
        }
        if !tasks.is_empty() {
            self.report(DispatcherEvent::SessionLost {
                runner: view.runner.clone(),
                runs: tasks.len(),
                jobs: name_jobs(&tasks),
                last_echo: now.saturating_duration_since(view.echoed_at),
            });
            self.lost_sessions.push(LostSession {
                runner: view.runner,
                over_at: view.echoed_at.min(now) + self.timings.runs_over_after(),
                tasks,
            });
        }
    }

    /// Takes a message of a runner.
    pub fn receive(&mut self, session: SessionId, message: RunnerMessage, now: Timestamp) {
        self.notice_stall(now);
        let Some(view) = self.targets.get_mut(&session) else {
            return;
        };
        view.heard_at = now;
        match message {
            RunnerMessage::Heartbeat {
                clock,
                free_capacity,
            } => {
                view.record_free_capacity(free_capacity);
                view.echoed_clock = Some(clock);
                view.echoed_at = now;
                let echo = DispatcherMessage::Echo { clock };
                self.actions.push(DispatcherAction::Send(session, echo));
                self.place_waiting(now);
            }
            RunnerMessage::FreeCapacity(free_capacity) => {
                view.record_free_capacity(free_capacity);
                self.place_waiting(now);
            }
            RunnerMessage::Target(description) => {
                let has_new_life = match (&view.description, &description) {
                    (Some(old), Some(new)) => old.incarnation != new.incarnation,
                    _ => false,
                };
                if has_new_life {
                    view.health = TargetHealth::new(self.health_limits);
                }
                let is_clean = description.is_some();
                let runner = view.runner.clone();
                view.description = description;
                if is_clean {
                    self.settle_runner(&runner);
                }
                self.place_waiting(now);
            }
            RunnerMessage::Ended {
                task,
                run,
                outcome,
                ran_ms,
                free_capacity,
            } => {
                view.record_free_capacity(free_capacity);
                let ran = Duration::from_millis(u64::from(ran_ms));
                self.run_ended(session, &task, run, outcome, ran, now);
                self.place_waiting(now);
            }
        }
    }

    pub(super) fn note_trouble(&mut self, session: SessionId, now: Timestamp) {
        if let Some(view) = self.targets.get_mut(&session)
            && view.health.note_trouble(now)
        {
            let runner = view.runner.clone();
            self.counts.pauses += 1;
            self.report(DispatcherEvent::TargetPaused { runner });
        }
    }

    /// Closes sessions whose runner says nothing: it may be frozen or cut off.
    pub(super) fn close_silent_sessions(&mut self, now: Timestamp) {
        let limit = self.timings.session;
        let silent: Vec<SessionId> = self
            .targets
            .iter()
            .filter(|(_, view)| now > view.heard_at + limit)
            .map(|(session, _)| *session)
            .collect();
        for session in silent {
            self.actions.push(DispatcherAction::CloseSession(session));
            self.close_session(session, now);
        }
    }

    /// Lets the tasks wait again whose lost sessions are surely over.
    pub(super) fn settle_lost_sessions(&mut self, now: Timestamp) {
        let (over, open) = std::mem::take(&mut self.lost_sessions)
            .into_iter()
            .partition(|lost| now >= lost.over_at);
        self.lost_sessions = open;
        self.settle(over);
    }

    /// A runner offers its target only when nothing of earlier sessions runs there.
    fn settle_runner(&mut self, runner: &str) {
        let (over, open) = std::mem::take(&mut self.lost_sessions)
            .into_iter()
            .partition(|lost| lost.runner == runner);
        self.lost_sessions = open;
        self.settle(over);
    }

    fn settle(&mut self, over: Vec<LostSession>) {
        for (number, id) in over.into_iter().flat_map(|lost| lost.tasks) {
            if self.ending.get(&id) == Some(&EndingRun::Uncertain) {
                self.ending.remove(&id);
            }
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            if let Some(index) = job.find_task(&id)
                && job.tasks[index].phase == TaskPhase::Uncertain
            {
                self.counts.lost += 1;
                job.tasks[index].phase = TaskPhase::Waiting;
                self.waiting.insert((job.request.priority, number));
            }
        }
    }
}

/// Lists the jobs of tasks, each once, [`MAX_NAMED_JOBS`] at the most.
fn name_jobs(tasks: &[(JobNumber, TaskId)]) -> Vec<String> {
    let mut jobs: Vec<String> = tasks.iter().map(|(_, task)| task.job.clone()).collect();
    jobs.sort_unstable();
    jobs.dedup();
    jobs.truncate(MAX_NAMED_JOBS);
    jobs
}
