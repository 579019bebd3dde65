//! Admission of kept jobs before they are submitted to their group.
//!
//! The first applicable rule decides:
//!
//! 1. `Leaving`: the process is draining.
//! 2. `NoTarget`: no target of the service accepts work, or some step has no target that could run one of its tasks even when empty,
//!    because the targets are too small or lack the required label.
//! 3. `NoRoom`: the expected latency is more than [`MAX_OBJECTIVE_FACTOR`] times the latency objective of the job. The expected latency is
//!    the work that is served first, divided by the processors of the targets of the service, plus the critical path of the job.
//!
//! Work that is served first consists of the unfinished tasks of kept jobs of the same service with the same or a more urgent priority, and
//! the waiting tasks of repeatable jobs with a more urgent one, except tasks for which no target with the required label accepts work. It
//! is the product of demand in cores, estimated duration and the ratio of durations to estimates.
//!
//! An accepted kept job is never given up, so a backlog that takes longer than callers find useful must not be accepted. Other entries use
//! the same targets, so the estimate tends to be too low: a job that is refused here could not have been answered in time.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::JobRefusal;
use crate::dispatcher::job::Job;
use crate::dispatcher::runner_session::RunnerSession;
use crate::request::{JobRequest, StepRequest};

/// Multiple of the latency objective beyond which an answer has no value for callers.
const MAX_OBJECTIVE_FACTOR: f64 = 3.0;

impl Dispatcher {
    /// Returns why a kept job must be refused before it is submitted to its group, or `None` if it may be submitted.
    pub fn find_kept_refusal(&self, request: &JobRequest, now: Timestamp) -> Option<JobRefusal> {
        if self.is_draining {
            return Some(JobRefusal::Draining);
        }
        if !self.has_capable_targets(request, now) {
            return Some(JobRefusal::NoTarget);
        }
        let max_latency = request.latency_objective().mul_f64(MAX_OBJECTIVE_FACTOR);
        let ratio = self
            .duration_ratio
            .expected_duration(Duration::from_secs(1));
        let own_work = request.critical_path().mul_f64(ratio.as_secs_f64());
        let expected = self
            .estimate_queue_time(request, now)
            .saturating_add(own_work);
        (expected > max_latency).then_some(JobRefusal::NoCapacity)
    }

    /// Returns whether each step has a target that accepts work and could run a task of the step when empty.
    fn has_capable_targets(&self, request: &JobRequest, now: Timestamp) -> bool {
        self.has_target_for_service(&request.service, now)
            && request.steps.iter().all(|step| {
                let mut runners = self.sessions.values();
                runners.any(|runner| can_run_step(runner, request, step, now))
            })
    }

    /// Estimates how long the work takes that is served before a job.
    fn estimate_queue_time(&self, request: &JobRequest, now: Timestamp) -> Duration {
        let jobs = self.jobs.values();
        let backlog: f64 = jobs.map(|job| self.work_ahead_of(job, request, now)).sum();
        let runners = self.sessions.values();
        let eligible =
            runners.filter(|runner| runner.accepts_work(now) && runner.serves(&request.service));
        let cores: f64 = eligible.map(RunnerSession::cores).sum();
        if backlog == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(backlog / cores).unwrap_or(Duration::MAX)
    }

    /// Returns the work of a job that is served before another job, in core-seconds.
    fn work_ahead_of(&self, job: &Job, other: &JobRequest, now: Timestamp) -> f64 {
        if job.request.service != other.service {
            return 0.0;
        }
        let steps = job.request.steps.iter().enumerate();
        let work = steps.map(|(index, step)| {
            let tasks = count_tasks_ahead(job, index, other);
            // Without a target for it, the step keeps no other work waiting.
            if tasks == 0 || !self.has_target_for_step(job, step, now) {
                return 0.0;
            }
            let expected = self.duration_ratio.expected_duration(step.estimate);
            f64::from(tasks) * step.demand.cores() * expected.as_secs_f64()
        });
        work.sum()
    }
}

/// Returns the number of tasks of a step of a job that are served before another job.
fn count_tasks_ahead(job: &Job, step: usize, other: &JobRequest) -> u32 {
    let priority = job.request.priority;
    if job.is_kept() && priority <= other.priority {
        job.count_open_in_step(step)
    } else if !job.is_kept() && priority < other.priority {
        job.count_waiting_in_step(step)
    } else {
        0
    }
}

/// Returns whether a target accepts work and could run a task of a step when empty.
fn can_run_step(
    runner: &RunnerSession,
    request: &JobRequest,
    step: &StepRequest,
    now: Timestamp,
) -> bool {
    let has_label = |label: &String| runner.has_label(label);
    runner.accepts_work(now)
        && runner.supports_kept_jobs
        && runner.serves(&request.service)
        && step.required_label.as_ref().is_none_or(has_label)
        && runner.fits_when_empty(&step.demand)
}
