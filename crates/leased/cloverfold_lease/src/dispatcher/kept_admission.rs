//! Decision: whether a kept job is refused before it is submitted to its group.
//!
//! Rule, the first that applies:
//!
//! 1. `Leaving`: the process is stopping.
//! 2. `NoTarget`: no target of the service accepts work, or none that does could ever run a task of each step: it is smaller than the task
//!    or lacks the label.
//! 3. `NoRoom`: the work that is served before it, divided by the processors of the targets of its service, and its own longest chain
//!    take longer than [`LATEST_FACTOR`] times its objective.
//!
//! Work that is served before it: tasks not done of kept jobs of the service of the same or a more urgent priority, and waiting tasks of
//! best-effort jobs of a more urgent one; demand in cores times the estimate times the ratio of durations to estimates.
//!
//! Inputs: the open jobs of this entry, the targets that it sees, the job's estimates and objective.
//!
//! Reason: what was accepted is never shed, so a backlog that takes longer than callers find useful must not be taken on. Other entries use
//! the same targets, so the time is reckoned too short rather than too long: what is refused here could not have been in time.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::JobRefusal;
use crate::dispatcher::job::{Job, Task, TaskPhase};
use crate::dispatcher::runner_session::RunnerSession;
use crate::request::{JobRequest, StepRequest};

/// How many times its objective a job may be expected to take. Given by callers, to whom an answer is worth something up to then.
const LATEST_FACTOR: f64 = 3.0;

impl Dispatcher {
    /// Returns why a kept job is refused before it is submitted, if there is a reason.
    pub fn find_kept_refusal(&self, request: &JobRequest, now: Timestamp) -> Option<JobRefusal> {
        if self.is_draining {
            return Some(JobRefusal::Leaving);
        }
        if !self.could_run(request, now) {
            return Some(JobRefusal::NoTarget);
        }
        let latest = request.target_latency().mul_f64(LATEST_FACTOR);
        let ratio = self
            .duration_ratio
            .expected_duration(Duration::from_secs(1));
        let own = request.critical_path().mul_f64(ratio.as_secs_f64());
        let expected = self.estimate_wait(request, now).saturating_add(own);
        (expected > latest).then_some(JobRefusal::NoCapacity)
    }

    /// Returns whether a target that accepts work could run a task of each step, were it empty.
    fn could_run(&self, request: &JobRequest, now: Timestamp) -> bool {
        self.has_target_of(&request.service, now)
            && request.steps.iter().all(|step| {
                let mut runners = self.sessions.values();
                runners.any(|runner| is_able(runner, request, step, now))
            })
    }

    /// Estimates how long the work takes that is served before a job.
    fn estimate_wait(&self, request: &JobRequest, now: Timestamp) -> Duration {
        let jobs = self.jobs.values();
        let before: f64 = jobs.map(|job| self.work_before(job, request)).sum();
        let runners = self.sessions.values();
        let able =
            runners.filter(|runner| runner.accepts_work(now) && runner.serves(&request.service));
        let cores: f64 = able.map(RunnerSession::cores).sum();
        if before == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(before / cores).unwrap_or(Duration::MAX)
    }

    /// Returns the work of a job that is served before another, in core-seconds.
    fn work_before(&self, job: &Job, other: &JobRequest) -> f64 {
        if job.request.service != other.service {
            return 0.0;
        }
        let counts = |task: &&Task| {
            if job.is_kept() {
                task.phase != TaskPhase::Done && job.request.priority <= other.priority
            } else {
                task.phase == TaskPhase::Waiting && job.request.priority < other.priority
            }
        };
        let tasks = job.tasks.iter().filter(counts);
        let work = tasks.map(|task| {
            let step = job.step(task);
            let expected = self.duration_ratio.expected_duration(step.estimate);
            step.demand.cores() * expected.as_secs_f64()
        });
        work.sum()
    }
}

/// Returns whether a target could run a task of a step, were it empty.
fn is_able(
    runner: &RunnerSession,
    request: &JobRequest,
    step: &StepRequest,
    now: Timestamp,
) -> bool {
    let has_label = |label: &String| runner.has_label(label);
    runner.accepts_work(now)
        && runner.knows_kept_jobs
        && runner.serves(&request.service)
        && step.required_label.as_ref().is_none_or(has_label)
        && runner.could_hold(&step.demand)
}
