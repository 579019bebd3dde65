//! One log line for each decision of the dispatcher, with what decided it.
//!
//! Operators read these lines at night; docs/OPERATIONS.md explains them by their texts and keys, so that keys never change. Owns
//! nothing; relies on the dispatcher to report its decisions.

use std::time::Duration;

use cloverfold_configuration::Version;
use cloverfold_kept_jobs::{Epoch, JobAssignment, StopCause};
use cloverfold_lease::DispatcherEvent;

/// Logs a decision; `version` is that of the configuration in force.
pub(crate) fn log_event(event: &DispatcherEvent, version: Version) {
    match event {
        DispatcherEvent::Refused { .. } => log_refused(event, version),
        DispatcherEvent::GivenUp { .. } => log_given_up(event, version),
        DispatcherEvent::RunEnded { .. } => log_run_ended(event),
        DispatcherEvent::RunOverdue { .. } => log_run_overdue(event),
        DispatcherEvent::StragglerWithdrawn { .. } => log_run_moved(event),
        DispatcherEvent::SessionLost { .. } => log_session_lost(event),
        DispatcherEvent::TargetPaused { runner } => {
            log::warn!(runner = runner.as_str(); "a target gets no work for a while");
        }
    }
}

/// Logs a refusal; the key `held_ms` is how long the job waited in the queue.
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
            "a job is refused"
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
        log::info!(job = job.as_str(), age_ms = millis(age), open_tasks, version; "a job is given up");
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
            "a run is over and not done"
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
            "a run is overdue and withdrawn"
        );
    }
}

fn log_run_moved(event: &DispatcherEvent) {
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
            "a run is withdrawn from a slow target"
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
            "a session is lost with runs under way"
        );
    }
}

/// Logs that a kept job is driven here; one that another entry has driven before is rare and worth a line.
pub(crate) fn log_driven(order: &JobAssignment) {
    let (job, epoch, recorded_tasks) = (order.job.as_str(), order.epoch, order.progress.len());
    if epoch == 1 {
        log::debug!(job, epoch, recorded_tasks; "a kept job is driven here");
    } else {
        log::info!(job, epoch, recorded_tasks; "a kept job is driven here");
    }
}

/// Logs that a kept job is driven here no more.
pub(crate) fn log_not_driven(job: &str, epoch: Epoch, cause: StopCause) {
    let name = cause.as_str();
    if cause == StopCause::Dropped {
        log::debug!(job, epoch, cause = name; "a kept job is not driven here any more");
    } else {
        log::info!(job, epoch, cause = name; "a kept job is not driven here any more");
    }
}

/// Logs that a stored job cannot be read and is handed on.
pub(crate) fn log_undrivable(order: &JobAssignment, fault: &str) {
    let (job, epoch) = (order.job.as_str(), order.epoch);
    log::error!(job, epoch, fault; "a kept job cannot be read and is handed on");
}

/// Returns a span in whole milliseconds, as all keys that end in `_ms` have it.
fn millis(span: &Duration) -> u64 {
    span.as_millis() as u64
}
