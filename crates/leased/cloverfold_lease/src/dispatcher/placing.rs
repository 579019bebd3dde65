//! Where waiting tasks go.

use cloverfold_base::Timestamp;
use rand::RngExt;

use crate::dispatcher::job::{Job, Task, TaskPhase};
use crate::dispatcher::{Dispatcher, JobNumber};
use crate::messages::{Assignment, SessionId};
use crate::request::StepRequest;

/// How many targets with room are drawn, of which the emptiest is taken: dispatchers that choose at the same moment from the
/// same reports should not all choose the same one.
const DRAWN_TARGETS: usize = 3;
/// How long an assignment may wait at the runner when others were faster, in milliseconds.
const RUNNER_WAIT_MS: u32 = 25;
/// Jobs without a fitting target that later ones may overtake in one pass.
const MAX_STUCK_JOBS: usize = 4;

impl Dispatcher {
    /// Assigns waiting tasks in order while targets have room.
    pub(super) fn place_waiting(&mut self, now: Timestamp) {
        let order: Vec<(u32, JobNumber)> = self.waiting.iter().copied().collect();
        let mut stuck = 0;
        for key in order {
            if !self.place_job(key.1, now) {
                stuck += 1;
                if stuck >= MAX_STUCK_JOBS {
                    break;
                }
            }
            let is_placed = self.jobs.get(&key.1).is_none_or(|job| !job.has_waiting());
            if is_placed {
                self.waiting.remove(&key);
            }
        }
    }

    /// Assigns the waiting tasks of one job; returns whether the next job may be tried.
    fn place_job(&mut self, number: JobNumber, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return true;
        };
        let waiting: Vec<usize> = (0..job.tasks.len())
            .filter(|&index| job.tasks[index].phase == TaskPhase::Waiting)
            .filter(|&index| !self.ending.contains_key(&job.tasks[index].id))
            .collect();
        for index in waiting {
            let Some(session) = self.choose_target(number, index, now) else {
                return false;
            };
            self.assign(number, index, session, now);
        }
        true
    }

    fn choose_target(
        &mut self,
        number: JobNumber,
        index: usize,
        now: Timestamp,
    ) -> Option<SessionId> {
        let job = self.jobs.get(&number)?;
        let task = &job.tasks[index];
        let fitting = self.list_fitting(job, task, now);
        let step = job.step(task);
        let near: Vec<SessionId> = match &step.preferred_label {
            Some(label) => self.keep(&fitting, |id| self.targets[&id].has_label(label)),
            None => Vec::new(),
        };
        let pool = if near.is_empty() { fitting } else { near };
        let usual = self.usual_ratio;
        let sound = self.keep(&pool, |id| !self.targets[&id].is_slow(usual));
        let pool = if sound.is_empty() { pool } else { sound };
        let other = self.keep(&pool, |id| task.avoided != Some(id));
        let pool = if other.is_empty() { pool } else { other };
        let demand = step.demand;
        let mut best: Option<(f64, SessionId)> = None;
        for _ in 0..DRAWN_TARGETS.min(pool.len()) {
            let drawn = pool[self.rng.random_range(0..pool.len())];
            let share = self.targets[&drawn].free_share_after(&demand);
            if best.is_none_or(|(held, _)| share > held) {
                best = Some((share, drawn));
            }
        }
        best.map(|(_, session)| session)
    }

    /// Says whether a target that is not slow has room for a task.
    pub(super) fn has_faster_target(
        &self,
        number: JobNumber,
        index: usize,
        now: Timestamp,
    ) -> bool {
        let Some(job) = self.jobs.get(&number) else {
            return false;
        };
        let fitting = self.list_fitting(job, &job.tasks[index], now);
        let usual = self.usual_ratio;
        fitting.iter().any(|id| !self.targets[id].is_slow(usual))
    }

    fn keep(&self, pool: &[SessionId], is_kept: impl Fn(SessionId) -> bool) -> Vec<SessionId> {
        pool.iter().copied().filter(|&id| is_kept(id)).collect()
    }

    fn list_fitting(&self, job: &Job, task: &Task, now: Timestamp) -> Vec<SessionId> {
        let step = job.step(task);
        let is_fitting = |id: &SessionId| {
            let view = &self.targets[id];
            let has_label = |label: &String| view.has_label(label);
            view.takes_work(now)
                && view.serves(&job.request.service)
                && view.free().covers(&step.demand)
                && step.required_label.as_ref().is_none_or(has_label)
                && step
                    .most_per_target
                    .is_none_or(|most| count_there(job, task.step, *id) < most)
        };
        self.targets.keys().copied().filter(is_fitting).collect()
    }

    fn assign(&mut self, number: JobNumber, index: usize, session: SessionId, now: Timestamp) {
        let session_span = self.timings.session;
        let (Some(job), Some(view)) = (self.jobs.get_mut(&number), self.targets.get_mut(&session))
        else {
            return;
        };
        let Some(echoed) = view.echoed_clock else {
            return;
        };
        let StepRequest {
            demand, estimate, ..
        } = *job.step(&job.tasks[index]);
        let task = &mut job.tasks[index];
        let run = task.next_run;
        task.next_run += 1;
        task.phase = TaskPhase::Assigned {
            session,
            run,
            since: now,
            is_withdrawn: false,
        };
        view.note_assignment(demand);
        let assignment = Assignment {
            task: task.id.clone(),
            run,
            spec: job.request.spec.clone(),
            demand,
            priority: job.request.priority,
            wait_ms: RUNNER_WAIT_MS,
            estimate_ms: estimate.as_millis() as u32,
            valid_until: echoed + session_span,
        };
        self.send_assignment(session, assignment);
    }
}

fn count_there(job: &Job, step: usize, session: SessionId) -> u32 {
    let is_there = |task: &&Task| {
        task.step == step
            && matches!(task.phase, TaskPhase::Assigned { session: held, .. } if held == session)
    };
    job.tasks.iter().filter(is_there).count() as u32
}
