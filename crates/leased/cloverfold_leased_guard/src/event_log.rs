//! Log lines for unacknowledged starts, stops, ends of runs and registrations.
//!
//! The operations manual documents the keys of these lines, so they must not change.

use cloverfold_kept_jobs::{EndDecision, TaskEnd};
use cloverfold_lease::{
    IncarnationId, RegistrationVerdict, RunOutcome, RunnerMessage, StartAnswer, StartOrder,
    StopOrder, TargetRegistration,
};

/// Logs the answer to a start that the target did not acknowledge.
pub(crate) fn log_unacknowledged_start(order: &StartOrder, answer: &StartAnswer) {
    if matches!(answer, StartAnswer::Started { .. }) {
        return;
    }
    let answer = answer.to_string();
    log::info!(
        job = order.task.job.as_str(), index = order.task.index, run = order.run,
        attempt = order.attempt, target = order.incarnation.name.as_str(), answer = answer.as_str();
        "start not acknowledged by the target"
    );
}

/// Logs that a run is about to be stopped.
pub(crate) fn log_stop(order: &StopOrder) {
    log::info!(
        job = order.task.job.as_str(), index = order.task.index, run = order.run;
        "stopping run"
    );
}

/// Logs the end of a run that did not succeed, as reported to the entry.
pub(crate) fn log_end(message: &RunnerMessage) {
    if let RunnerMessage::Ended {
        task,
        run,
        outcome,
        ran_ms,
        ..
    } = message
        && *outcome != RunOutcome::Done
    {
        let outcome = outcome.to_string();
        log::info!(
            job = task.job.as_str(), step = task.step, index = task.index, run, ran_ms,
            outcome = outcome.as_str();
            "run at the target ended without success"
        );
    }
}

/// Logs the decision of a group on the end of a kept run, unless the group has recorded the end.
pub(crate) fn log_end_decision(end: &TaskEnd, decision: EndDecision) {
    let (job, task, run, epoch) = (end.job.as_str(), end.task, end.run, end.epoch);
    match decision {
        EndDecision::Recorded => {}
        EndDecision::JobOver => {
            log::debug!(job, task, run, epoch; "run end not recorded; its job has ended");
        }
        EndDecision::Fenced => log::warn!(
            job, task, run, epoch;
            "run end fenced, as its job was reassigned; letting the lease of the target expire"
        ),
    }
}

/// Logs a registration that is not accepted at once. Targets register at most every few seconds, which bounds these lines.
pub(crate) fn log_registration(registration: &TargetRegistration, verdict: RegistrationVerdict) {
    if verdict == RegistrationVerdict::Accepted {
        return;
    }
    log::info!(
        target = registration.incarnation.name.as_str(), born = registration.incarnation.start_time.unwrap_or_default(),
        sequence = registration.sequence,
        draining = registration.is_draining, verdict = verdict.as_str();
        "registration not accepted at once"
    );
}

/// Logs that the target deregisters, and whether the guard accepts that; a missing start time is logged as 0.
pub(crate) fn log_deregistration(incarnation: &IncarnationId, is_accepted: bool) {
    let (target, born) = (
        incarnation.name.as_str(),
        incarnation.start_time.unwrap_or_default(),
    );
    if is_accepted {
        log::info!(target, born; "target deregistered");
    } else {
        log::info!(target, born; "ignoring deregistration of another incarnation of the target");
    }
}

/// Logs whether a new incarnation of the target is alive; a missing start time is logged as 0.
pub(crate) fn log_incarnation(incarnation: &IncarnationId, is_alive: bool) {
    let (target, born) = (
        incarnation.name.as_str(),
        incarnation.start_time.unwrap_or_default(),
    );
    if is_alive {
        log::info!(target, born; "target replaced by a new incarnation");
    } else {
        log::info!(target, born; "ignoring late registration of an ended incarnation");
    }
}
