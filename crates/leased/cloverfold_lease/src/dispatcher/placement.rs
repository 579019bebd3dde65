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

use cloverfold_base::Timestamp;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::headroom::{Headroom, demand_with_headroom};
use crate::dispatcher::job::{Job, JobNumber, Task, TaskPhase, TaskPosition};
use crate::dispatcher::kept_jobs::BlockedKeptJobs;
use crate::dispatcher::runner_session::RunnerSession;
use crate::dispatcher::waiting_jobs::WaitingJobs;
use crate::messages::{Assignment, SessionId};
use crate::request::StepRequest;
use crate::resources::Resources;

/// Number of random samples among the candidates. Sampling prevents dispatchers that decide at the same time on the same reports from all
/// choosing the same target.
const SAMPLE_SIZE: usize = 3;
/// How long an assignment may wait at the runner for capacity that another dispatcher took first, in milliseconds.
const RUNNER_WAIT_MS: u32 = 25;
/// Number of jobs without a candidate after which a pass over the queue ends.
const MAX_SKIPPED_JOBS: usize = 4;

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

/// Returns the resources that must be free on a target to assign a task of this step there.
fn required_free(runner: &RunnerSession, step: &StepRequest, headroom: Headroom) -> Resources {
    let target = runner.description.as_ref();
    target.map_or(step.demand, |target| {
        demand_with_headroom(&step.demand, &target.capacity, headroom)
    })
}

impl Dispatcher {
    /// Assigns waiting tasks in the order of precedence while targets have free capacity.
    pub(super) fn place_waiting(&mut self, now: Timestamp) {
        let mut skipped = 0;
        let mut unplaced = 0;
        let mut blocked = BlockedKeptJobs::default();
        for position in self.list_waiting(now) {
            if self.is_blocked(position.job, &blocked, now) {
                continue;
            }
            if !self.place_job(position.job, now) {
                unplaced += 1;
                if self.record_blocked(position.job, &mut blocked) {
                    continue;
                }
                skipped += 1;
                if skipped >= MAX_SKIPPED_JOBS {
                    break;
                }
            }
            let job = self.jobs.get(&position.job);
            if job.is_none_or(|job| !job.has_waiting_tasks()) {
                self.waiting.remove(&position);
            }
        }
        self.waiting_jobs.latest = WaitingJobs {
            unplaced,
            untried: self.waiting.len().saturating_sub(unplaced),
        };
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

    /// Assigns the waiting tasks of a job; returns whether all found a target.
    fn place_job(&mut self, number: JobNumber, now: Timestamp) -> bool {
        let had_started = self.jobs.get(&number).is_some_and(Job::may_have_run);
        for index in self.list_placeable(number) {
            let position = TaskPosition { job: number, index };
            let Some(session) = self.choose_target(position, now) else {
                let has_started = self.jobs.get(&number).is_some_and(Job::may_have_run);
                self.counts.partially_started += u64::from(has_started && !had_started);
                return false;
            };
            self.assign(position, session, now);
        }
        true
    }

    /// Returns the waiting tasks of a job, except those of which a detached run may still be in progress.
    fn list_placeable(&self, number: JobNumber) -> Vec<usize> {
        let Some(job) = self.jobs.get(&number) else {
            return Vec::new();
        };
        let is_placeable = |task: &Task| {
            task.phase() == TaskPhase::Waiting && !self.detached_runs.contains_key(&task.id)
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
        let mut candidates: Vec<Candidate> = self.list_candidates(job, task, now).collect();
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
        self.list_candidates(job, task, now)
            .any(|candidate| !candidate.is_slow)
    }

    /// Returns the headroom that tasks of a job must leave.
    fn headroom_of(&self, job: &Job, now: Timestamp) -> Headroom {
        if job.is_late_resubmission || job.is_past_grace(now) {
            Headroom::ForOnTime
        } else if self.shares.has_more_urgent(job.request.priority) {
            Headroom::ForUrgent
        } else {
            Headroom::None
        }
    }

    /// Returns the targets that can run a task now, in order of their session IDs.
    fn list_candidates(
        &self,
        job: &Job,
        task: &Task,
        now: Timestamp,
    ) -> impl Iterator<Item = Candidate> {
        let headroom = self.headroom_of(job, now);
        let sessions = self.sessions.iter();
        sessions.filter_map(move |(session, runner)| {
            let needed = required_free(runner, job.step(task), headroom);
            self.check_candidate(job, task, *session, runner, &needed, now)
        })
    }

    /// Returns a target as a candidate if it can run a task now and `needed` is free there.
    fn check_candidate(
        &self,
        job: &Job,
        task: &Task,
        session: SessionId,
        runner: &RunnerSession,
        needed: &Resources,
        now: Timestamp,
    ) -> Option<Candidate> {
        let step = job.step(task);
        let has_label = |label: &String| runner.has_label(label);
        let is_usable = runner.accepts_work(now)
            && runner.serves(&job.request.service)
            && step.required_label.as_ref().is_none_or(has_label);
        if !is_usable {
            return None;
        }
        let free = runner.free();
        let has_space = free.covers(needed);
        let allows_one_more = |limit: u32| job.count_assigned(task.step, session) < limit;
        if !has_space || !step.max_per_target.is_none_or(allows_one_more) {
            return None;
        }
        if job.is_kept() && !runner.supports_kept_jobs {
            return None;
        }
        Some(Candidate {
            session,
            is_preferred: step.preferred_label.as_ref().is_some_and(has_label),
            is_slow: runner.is_slow(self.duration_ratio.value()),
            is_avoided: task.avoided_session == Some(session),
            free_share: runner.cpu_share(&free.minus(&step.demand)),
        })
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
