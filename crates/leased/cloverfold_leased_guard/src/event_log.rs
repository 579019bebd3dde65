//! Log lines for starts that were not acknowledged, stops, and runs that ended without success.
//!
//! Operators read these lines at night; docs/OPERATIONS.md explains them by their texts and keys, so that keys never change. Owns
//! nothing.

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
        "a start is not acknowledged"
    );
}

/// Logs that a run is being stopped.
pub(crate) fn log_stop(order: &StopOrder) {
    log::info!(
        job = order.task.job.as_str(), index = order.task.index, run = order.run;
        "a run is stopped"
    );
}

/// Logs each end of a run that is not a success, as it is reported to the entry.
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
            "a run is over"
        );
    }
}

/// Logs that a group has decided on the end of a kept run in another way than by recording it.
pub(crate) fn log_decision(end: &TaskEnd, decision: EndDecision) {
    let (job, task, run, epoch) = (end.job.as_str(), end.task, end.run, end.epoch);
    match decision {
        EndDecision::Recorded => {}
        EndDecision::JobOver => {
            log::debug!(job, task, run, epoch; "an end is not recorded, its job is over");
        }
        EndDecision::Fenced => log::warn!(
            job, task, run, epoch;
            "an end came after its job was handed on; the target's lease is left to lapse"
        ),
    }
}

/// Logs a registration that changes nothing by itself; a target registers every few seconds at the most.
pub(crate) fn log_registration(registration: &TargetRegistration, verdict: RegistrationVerdict) {
    if verdict == RegistrationVerdict::Accepted {
        return;
    }
    log::info!(
        target = registration.incarnation.name.as_str(), born = registration.incarnation.start_time.unwrap_or_default(),
        sequence = registration.sequence,
        draining = registration.is_draining, verdict = verdict.as_str();
        "a registration is not taken at once"
    );
}

/// Logs that a target reports its end, and whether that is believed; a start that it leaves out is written as 0.
pub(crate) fn log_departure(incarnation: &IncarnationId, is_taken: bool) {
    let (target, born) = (
        incarnation.name.as_str(),
        incarnation.start_time.unwrap_or_default(),
    );
    if is_taken {
        log::info!(target, born; "the target has left");
    } else {
        log::info!(target, born; "the end of another incarnation of the target changes nothing");
    }
}

/// Logs what became of an incarnation that was not the target's known one; a start that it leaves out is written as 0.
pub(crate) fn log_incarnation(incarnation: &IncarnationId, is_alive: bool) {
    let (target, born) = (
        incarnation.name.as_str(),
        incarnation.start_time.unwrap_or_default(),
    );
    if is_alive {
        log::info!(target, born; "a new incarnation has replaced the target");
    } else {
        log::info!(target, born; "a late registration of a dead incarnation is ignored");
    }
}
