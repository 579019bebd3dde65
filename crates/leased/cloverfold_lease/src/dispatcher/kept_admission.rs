//! Admission of kept jobs before they are submitted to their group.
//!
//! The first applicable rule decides:
//!
//! 1. `Leaving`: the process is draining.
//! 2. `NoTarget`: no target of the service accepts work, or some step has no target that could run one of its tasks even when empty,
//!    because the targets are too small or lack the required label.
//! 3. `NoMemory`: the kept jobs that this entry drives would take more than [`MAX_KEPT_BYTES`] with this one.
//! 4. `NoRoom`: the expected latency is more than [`MAX_OBJECTIVE_FACTOR`] times the latency objective of the job. The expected latency is
//!    the time that the targets of the service take for the work that is served first, plus the critical path of the job.
//!
//! Work that is served first consists of the unfinished tasks of kept jobs of the same service with the same or a more urgent priority, and
//! the waiting tasks of repeatable jobs with a more urgent one, except tasks for which no target with the required label accepts work. It
//! is the product of demand in cores, estimated duration and the ratio of durations to estimates. Tasks with a label that the job does not
//! require occupy only the targets with that label (`backlog`).
//!
//! An accepted kept job is never given up, so a backlog that takes longer than callers find useful must not be accepted. Other entries use
//! the same targets, so the estimate tends to be too low: a job that is refused here could not have been answered in time.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::answers::JobRefusal;
use crate::dispatcher::backlog::Backlog;
use crate::dispatcher::job::Job;
use crate::dispatcher::runner_session::RunnerSession;
use crate::dispatcher::target_index::{TargetSet, TargetSetId};
use crate::request::{JobRequest, StepRequest};

/// Maximum memory of the kept jobs that an entry drives, in bytes. Jobs that are handed over to it count, but are never refused.
pub const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

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
        if self.kept_bytes() + request.open_bytes() > MAX_KEPT_BYTES {
            return Some(JobRefusal::NoMemory);
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

    /// Returns the memory of the kept jobs that are driven here, in bytes.
    fn kept_bytes(&self) -> usize {
        let kept = self.jobs.values().filter(|job| job.is_kept());
        kept.map(|job| job.bytes).sum()
    }

    /// Returns whether each step has a target that accepts work and could run a task of the step when empty.
    fn has_capable_targets(&self, request: &JobRequest, now: Timestamp) -> bool {
        self.has_target_for_service(&request.service, now)
            && request
                .steps
                .iter()
                .all(|step| self.has_capable_target(&request.service, step, now))
    }

    /// Returns whether a target of a service accepts work and could run a task of a step of a kept job when empty.
    pub(super) fn has_capable_target(
        &self,
        service: &str,
        step: &StepRequest,
        now: Timestamp,
    ) -> bool {
        let targets = self.targets.find(service, step.required_label.as_deref());
        let sessions = targets
            .into_iter()
            .flat_map(|targets| targets.sessions.iter());
        let mut runners = sessions.filter_map(|session| self.sessions.get(session));
        runners.any(|runner| {
            runner.accepts_work(now)
                && runner.supports_kept_jobs
                && runner.fits_when_empty(&step.demand)
        })
    }

    /// Estimates how long the work takes that is served before a job.
    fn estimate_queue_time(&self, request: &JobRequest, now: Timestamp) -> Duration {
        let mut parts = self.list_work_ahead(request, now);
        let total = Backlog {
            core_seconds: parts.values().map(|part| part.core_seconds).sum(),
            cores: self.cores_of_service(&request.service, now),
        };
        for step in &request.steps {
            let label = step.required_label.as_deref();
            if let Some(required) = self.targets.find(&request.service, label) {
                parts.remove(&required.id);
            }
        }
        let seconds = total.seconds_ahead(parts.into_values().collect());
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Returns the work that is served before a job, by the set of targets that can do it. Without such a target, work keeps nothing waiting.
    fn list_work_ahead(
        &self,
        request: &JobRequest,
        now: Timestamp,
    ) -> BTreeMap<TargetSetId, Backlog> {
        let mut parts = BTreeMap::new();
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.request.service == request.service) {
            for (index, step) in job.request.steps.iter().enumerate() {
                let tasks = count_tasks_ahead(job, index, request);
                let targets = self.find_targets(job, step);
                let Some(targets) = targets.filter(|_| tasks > 0) else {
                    continue;
                };
                let part = parts.entry(targets.id).or_insert_with(|| Backlog {
                    core_seconds: 0.0,
                    cores: self.cores_of(targets, now),
                });
                part.core_seconds += f64::from(tasks) * self.expected_work(step);
            }
        }
        parts.retain(|_, part| part.cores > 0.0);
        parts
    }

    /// Returns the expected work of a task of a step, in core-seconds.
    fn expected_work(&self, step: &StepRequest) -> f64 {
        let expected = self.duration_ratio.expected_duration(step.estimate);
        step.demand.cores() * expected.as_secs_f64()
    }

    /// Returns the number of processors of the targets of a service that accept work.
    fn cores_of_service(&self, service: &str, now: Timestamp) -> f64 {
        let targets = self.targets.find(service, None);
        targets.map_or(0.0, |targets| self.cores_of(targets, now))
    }

    /// Returns the number of processors of the targets of a set that accept work.
    fn cores_of(&self, targets: &TargetSet, now: Timestamp) -> f64 {
        let sessions = targets.sessions.iter();
        let runners = sessions.filter_map(|session| self.sessions.get(session));
        let accepting = runners.filter(|runner| runner.accepts_work(now));
        accepting.map(RunnerSession::cores).sum()
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
