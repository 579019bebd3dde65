//! Assignment of waiting tasks to targets.
//!
//! Jobs are served in the order of `precedence`. For each waiting task:
//!
//! 1. The candidates are the targets that accept work, serve the service, have the required label, have enough free capacity for the task
//!    and its `headroom`, and have fewer tasks of its step than the limit per target ([`Dispatcher::list_candidates`]).
//! 2. The candidates are narrowed to those with the preferred label, then to those that are not slow, then to those on which the task was
//!    not unsuccessful before. Each filter is skipped if it would leave none ([`retain_if_any`]).
//! 3. Out of [`SAMPLE_SIZE`] randomly sampled candidates, the one with the largest share of free processors is chosen
//!    ([`sample_least_loaded`]).
//!
//! The free capacity that runners report may be up to 20 ms old. The runner has the final decision and refuses an assignment for which it
//! has no capacity.

use std::collections::HashMap;

use cloverfold_base::Timestamp;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::headroom::{Headroom, usable_capacity};
use crate::dispatcher::job::{Job, JobNumber, Task, TaskPhase, TaskPosition};
use crate::dispatcher::placement_pass::PlacementPass;
use crate::dispatcher::runner_session::RunnerSession;
use crate::dispatcher::wait_causes::WaitCause;
use crate::messages::{Assignment, SessionId};
use crate::resources::Resources;

/// Number of random samples among the candidates. Sampling prevents dispatchers that decide at the same time on the same reports from all
/// choosing the same target.
const SAMPLE_SIZE: usize = 3;
/// How long an assignment may wait at the runner for capacity that another dispatcher took first, in milliseconds.
const RUNNER_WAIT_MS: u32 = 25;

/// A target that can run a task now.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    session: SessionId,
    /// Whether it has the preferred label of the step.
    is_preferred: bool,
    /// Whether its runs are slow compared with those on all targets.
    is_slow: bool,
    /// Whether the latest unsuccessful run of the task was there.
    is_avoided: bool,
    /// Share of its processors that would remain free with the task.
    free_share: f64,
}

/// Keeps the matching candidates, or all if none matches.
fn retain_if_any(candidates: &mut Vec<Candidate>, is_match: impl Fn(&Candidate) -> bool) {
    if candidates.iter().any(&is_match) {
        candidates.retain(is_match);
    }
}

/// Samples [`SAMPLE_SIZE`] times and returns the candidate with the largest free share.
fn sample_least_loaded(candidates: &[Candidate], rng: &mut SmallRng) -> Option<SessionId> {
    let mut least_loaded: Option<Candidate> = None;
    for _ in 0..SAMPLE_SIZE.min(candidates.len()) {
        let sampled = candidates[rng.random_range(0..candidates.len())];
        if least_loaded.is_none_or(|best| sampled.free_share > best.free_share) {
            least_loaded = Some(sampled);
        }
    }
    least_loaded.map(|candidate| candidate.session)
}

/// Free capacity of a target that accepts work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Capacity {
    free: Resources,
    /// What a task may use of it.
    pub(super) usable: Resources,
}

/// Returns the free capacity of a target, or `None` if it accepts no work or no kept runs.
pub(super) fn capacity_on(
    runner: &RunnerSession,
    headroom: Headroom,
    is_kept: bool,
    now: Timestamp,
) -> Option<Capacity> {
    if !runner.accepts_work(now) || (is_kept && !runner.supports_kept_jobs) {
        return None;
    }
    let target = runner.description.as_ref()?;
    let free = runner.free();
    let usable = usable_capacity(&free, &target.capacity, headroom);
    Some(Capacity { free, usable })
}

/// Returns whether a target holds as many tasks of a step as allowed; `assigned` are their numbers.
pub(super) fn has_reached_limit(
    assigned: &HashMap<SessionId, u32>,
    session: SessionId,
    limit: u32,
) -> bool {
    assigned.get(&session).copied().unwrap_or_default() >= limit
}

impl Dispatcher {
    /// Assigns waiting tasks in the order of precedence while targets have free capacity.
    pub(super) fn place_waiting(&mut self, now: Timestamp) {
        let mut pass = PlacementPass::default();
        for position in self.list_placeable_jobs(&mut pass, now) {
            if let Some(cause) = self.place_job(position.job, &mut pass, now) {
                pass.record_waiting(cause);
            }
            let job = self.jobs.get(&position.job);
            if job.is_none_or(|job| !job.has_waiting_tasks()) {
                self.waiting.remove(&position);
            }
        }
        self.waiting_jobs.latest = pass.waiting();
        self.record_standing_queues(now);
    }

    /// Records which queues have jobs that wait to start.
    fn record_standing_queues(&mut self, now: Timestamp) {
        let jobs = self.waiting.iter();
        let jobs = jobs.filter_map(|position| self.jobs.get(&position.job));
        let unstarted = jobs.filter(|job| !job.may_have_run());
        let queues = unstarted.map(|job| job.request.queue.as_str());
        self.standing_queues.record(queues, now);
    }

    /// Assigns the waiting tasks of a job; returns why a task is left, if any.
    fn place_job(
        &mut self,
        number: JobNumber,
        pass: &mut PlacementPass,
        now: Timestamp,
    ) -> Option<WaitCause> {
        let job = self.jobs.get(&number)?;
        let had_started = job.may_have_run();
        let steps: Vec<usize> = job.waiting_steps().collect();
        let mut first_cause = None;
        for step in steps {
            let cause = self.place_step(number, step, pass, now);
            first_cause = first_cause.or(cause);
        }
        let has_started = self.jobs.get(&number).is_some_and(Job::may_have_run);
        let is_partially_started = first_cause.is_some() && has_started && !had_started;
        self.counts.partially_started += u64::from(is_partially_started);
        first_cause
    }

    /// Assigns the waiting tasks of a step; returns why a task is left, if any.
    fn place_step(
        &mut self,
        number: JobNumber,
        step: usize,
        pass: &mut PlacementPass,
        now: Timestamp,
    ) -> Option<WaitCause> {
        let job = self.jobs.get(&number)?;
        if pass.knows_capacities()
            && let Some(cause) = self.find_wait_cause(job, step, pass, now)
        {
            return Some(cause);
        }
        let placeable = self.list_placeable(number, step);
        if placeable.is_empty() {
            return Some(WaitCause::EarlierRunOpen);
        }
        for index in placeable {
            let position = TaskPosition { job: number, index };
            let Some(session) = self.choose_target(position, now) else {
                let job = self.jobs.get(&number)?;
                return self.find_new_wait_cause(job, step, pass, now);
            };
            self.assign(position, session, now);
        }
        None
    }

    /// Returns the waiting tasks of a step, except those of which a detached run may still be in progress.
    fn list_placeable(&self, number: JobNumber, step: usize) -> Vec<usize> {
        let Some(job) = self.jobs.get(&number) else {
            return Vec::new();
        };
        let is_placeable = |task: &Task| {
            task.step == step
                && task.phase() == TaskPhase::Waiting
                && !self.detached_runs.contains_key(&task.id)
        };
        let tasks = job.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| is_placeable(task))
            .map(|(index, _)| index)
            .collect()
    }

    /// Chooses a target for a task, or returns `None` if no target can run it now.
    fn choose_target(&mut self, position: TaskPosition, now: Timestamp) -> Option<SessionId> {
        let job = self.jobs.get(&position.job)?;
        let task = &job.tasks[position.index];
        let mut candidates = self.list_candidates(job, task, now);
        retain_if_any(&mut candidates, |candidate| candidate.is_preferred);
        retain_if_any(&mut candidates, |candidate| !candidate.is_slow);
        retain_if_any(&mut candidates, |candidate| !candidate.is_avoided);
        sample_least_loaded(&candidates, &mut self.rng)
    }

    /// Returns whether a target that is not slow can run a task now.
    pub(super) fn has_faster_target(&self, position: TaskPosition, now: Timestamp) -> bool {
        let Some(job) = self.jobs.get(&position.job) else {
            return false;
        };
        let task = &job.tasks[position.index];
        let candidates = self.list_candidates(job, task, now);
        candidates.iter().any(|candidate| !candidate.is_slow)
    }

    /// Returns the headroom that tasks of a job must leave.
    pub(super) fn headroom_of(&self, job: &Job, now: Timestamp) -> Headroom {
        if job.is_late_resubmission || job.is_past_grace(now) {
            Headroom::ForOnTime
        } else if self.shares.has_more_urgent(job.request.priority) {
            Headroom::ForUrgent
        } else {
            Headroom::None
        }
    }

    /// Returns the targets that can run a task now, in order of their session IDs.
    fn list_candidates(&self, job: &Job, task: &Task, now: Timestamp) -> Vec<Candidate> {
        let step = job.step(task);
        let Some(targets) = self.find_targets(job, step) else {
            return Vec::new();
        };
        let headroom = self.headroom_of(job, now);
        let assigned = match step.max_per_target {
            Some(_) => job.count_assigned(task.step),
            None => HashMap::new(),
        };
        let is_at_limit = |session| {
            let limit = step.max_per_target;
            limit.is_some_and(|limit| has_reached_limit(&assigned, session, limit))
        };
        let sessions = targets.sessions.iter();
        let candidates = sessions.filter_map(|&session| {
            let runner = self.sessions.get(&session)?;
            let capacity = capacity_on(runner, headroom, job.is_kept(), now)?;
            if !capacity.usable.covers(&step.demand) || is_at_limit(session) {
                return None;
            }
            Some(self.describe_candidate(job, task, session, runner, capacity.free))
        });
        candidates.collect()
    }

    /// Returns a target that can run a task as a candidate; `free` is its free capacity.
    fn describe_candidate(
        &self,
        job: &Job,
        task: &Task,
        session: SessionId,
        runner: &RunnerSession,
        free: Resources,
    ) -> Candidate {
        let step = job.step(task);
        let has_label = |label: &String| runner.has_label(label);
        Candidate {
            session,
            is_preferred: step.preferred_label.as_ref().is_some_and(has_label),
            is_slow: runner.is_slow(self.duration_ratio.value()),
            is_avoided: task.avoided_session == Some(session),
            free_share: runner.cpu_share(&free.minus(&step.demand)),
        }
    }

    /// Starts the next run of a task on a target.
    fn assign(&mut self, position: TaskPosition, session: SessionId, now: Timestamp) {
        let session_timeout = self.timings.session_timeout;
        let Some(job) = self.jobs.get_mut(&position.job) else {
            return;
        };
        let Some(runner) = self.sessions.get_mut(&session) else {
            return;
        };
        let Some(echoed) = runner.last_echo_clock else {
            return;
        };
        let task = &job.tasks[position.index];
        let (demand, estimate) = (job.step(task).demand, job.estimate(task));
        let run = job.begin_run(position.index, session, now);
        job.has_begun |= !runner.reports_starts;
        runner.record_assignment(demand);
        let work = demand.cores() * estimate.as_secs_f64();
        self.shares.record_allocation(&job.request.queue, work, now);
        let assignment = Assignment {
            task: job.tasks[position.index].id.clone(),
            run,
            spec: job.request.spec.clone(),
            demand,
            priority: job.request.priority,
            wait_ms: RUNNER_WAIT_MS,
            estimate_ms: estimate.as_millis() as u32,
            valid_until: echoed + session_timeout,
        };
        let kept = job.epoch.map(|epoch| (epoch, position.index as u32));
        self.send_assignment(session, assignment, kept);
    }
}
