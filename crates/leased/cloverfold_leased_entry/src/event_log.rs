//! Log lines for the decisions of the dispatcher and the driver.
//!
//! The operations manual documents the keys of these lines, so they must not change.

use std::time::Duration;

use cloverfold_configuration::Version;
use cloverfold_kept_jobs::{Epoch, JobAssignment, StopCause};
use cloverfold_lease::{DispatcherEvent, WaitingJobs};

/// Logs a decision of the dispatcher; `version` is the version of the configuration in force.
pub(crate) fn log_event(event: &DispatcherEvent, version: Version) {
    match event {
        DispatcherEvent::Refused { .. } => log_refused(event, version),
        DispatcherEvent::GivenUp { .. } => log_given_up(event, version),
        DispatcherEvent::RunEnded { .. } => log_run_ended(event),
        DispatcherEvent::RunOverdue { .. } => log_run_overdue(event),
        DispatcherEvent::StragglerWithdrawn { .. } => log_straggler_withdrawn(event),
        DispatcherEvent::SessionLost { .. } => log_session_lost(event),
        DispatcherEvent::JobsWaiting { jobs, oldest } => log_jobs_waiting(jobs, oldest),
        DispatcherEvent::TargetPaused { runner } => {
            log::warn!(runner = runner.as_str(); "target paused after repeated failures; assigning it no tasks until the pause ends");
        }
    }
}

/// Logs a refusal; `held_ms` is how long the job waited in the queue.
fn log_refused(event: &DispatcherEvent, version: Version) {
    if let DispatcherEvent::Refused {
        job,
        cause,
        waited,
        targets,
        waiting,
        oldest_report,
    } = event
    {
        log::info!(
            job = job.as_str(), cause = cause.as_str(), held_ms = millis(waited),
            ready_targets = targets.ready, targets = targets.connected, waiting,
            oldest_report_ms = millis(oldest_report), version;
            "job refused"
        );
    }
}

fn log_given_up(event: &DispatcherEvent, version: Version) {
    if let DispatcherEvent::GivenUp {
        job,
        age,
        open_tasks,
    } = event
    {
        log::info!(job = job.as_str(), age_ms = millis(age), open_tasks, version; "job given up");
    }
}

fn log_run_ended(event: &DispatcherEvent) {
    if let DispatcherEvent::RunEnded {
        task,
        run,
        runner,
        outcome,
        failures,
    } = event
    {
        let outcome = outcome.to_string();
        log::info!(
            job = task.job.as_str(), step = task.step, index = task.index, run,
            runner = runner.as_str(), outcome = outcome.as_str(), failures;
            "run ended without success"
        );
    }
}

fn log_run_overdue(event: &DispatcherEvent) {
    if let DispatcherEvent::RunOverdue {
        task,
        run,
        runner,
        age,
        estimate,
    } = event
    {
        log::info!(
            job = task.job.as_str(), step = task.step, index = task.index, run,
            runner = runner.as_str(), age_ms = millis(age), estimate_ms = millis(estimate);
            "overdue run withdrawn"
        );
    }
}

fn log_straggler_withdrawn(event: &DispatcherEvent) {
    if let DispatcherEvent::StragglerWithdrawn {
        task,
        run,
        runner,
        age,
        slowness_permille,
        report_age,
    } = event
    {
        log::info!(
            job = task.job.as_str(), step = task.step, index = task.index, run,
            runner = runner.as_str(), age_ms = millis(age), slowness_permille,
            report_age_ms = millis(report_age);
            "run withdrawn from a slow target"
        );
    }
}

fn log_session_lost(event: &DispatcherEvent) {
    if let DispatcherEvent::SessionLost {
        runner,
        runs,
        jobs,
        last_echo,
    } = event
    {
        let jobs = jobs.join(",");
        log::warn!(
            runner = runner.as_str(), runs, jobs = jobs.as_str(),
            last_echo_ms = millis(last_echo);
            "session lost with runs in flight"
        );
    }
}

fn log_jobs_waiting(jobs: &WaitingJobs, oldest: &Duration) {
    log::info!(
        no_target = jobs.no_target, no_capacity = jobs.no_capacity,
        limit_per_target = jobs.limit_per_target, earlier_run_open = jobs.earlier_run_open,
        oldest_ms = millis(oldest);
        "jobs wait for a target"
    );
}

/// Logs that this entry drives a kept job; at a higher level if another entry has driven it before, which is rare.
pub(crate) fn log_driving(order: &JobAssignment) {
    let (job, epoch, recorded_tasks) = (order.job.as_str(), order.epoch, order.progress.len());
    if epoch == 1 {
        log::debug!(job, epoch, recorded_tasks; "driving kept job");
    } else {
        log::info!(job, epoch, recorded_tasks; "driving kept job");
    }
}

/// Logs that this entry no longer drives a kept job.
pub(crate) fn log_stopped_driving(job: &str, epoch: Epoch, cause: StopCause) {
    let name = cause.as_str();
    if cause == StopCause::Dropped {
        log::debug!(job, epoch, cause = name; "no longer driving kept job");
    } else {
        log::info!(job, epoch, cause = name; "no longer driving kept job");
    }
}

/// Logs that a stored job cannot be decoded and is released.
pub(crate) fn log_unreadable_job(order: &JobAssignment, error: &str) {
    let (job, epoch) = (order.job.as_str(), order.epoch);
    log::error!(job, epoch, fault = error; "cannot read a stored kept job; releasing it");
}

/// Returns a duration in whole milliseconds, the unit of all keys that end in `_ms`.
fn millis(duration: &Duration) -> u64 {
    duration.as_millis() as u64
}
