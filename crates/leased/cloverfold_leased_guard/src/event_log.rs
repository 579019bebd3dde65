//! Log lines for starts that were not acknowledged, stops, and runs that ended without success.
//!
//! Operators read these lines at night; docs/OPERATIONS.md explains them by their texts and keys, so that keys never change. Owns
//! nothing.

use cloverfold_lease::{RunOutcome, RunnerMessage, StartAnswer, StartOrder, StopOrder};

/// Logs the answer to a start that the target did not acknowledge.
pub(crate) fn log_unacknowledged_start(order: &StartOrder, answer: &StartAnswer) {
    if matches!(answer, StartAnswer::Started { .. }) {
        return;
    }
    let answer = answer.to_string();
    log::info!(
        job = order.task.job.as_str(), index = order.task.index, run = order.run,
        attempt = order.attempt, target = order.incarnation.as_str(), answer = answer.as_str();
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

/// Logs what became of an incarnation that registered beside a known target.
pub(crate) fn log_incarnation(incarnation: &str, is_living: bool) {
    if is_living {
        log::info!(target = incarnation; "a new incarnation has replaced the target");
    } else {
        log::info!(target = incarnation; "a late registration of a dead incarnation is ignored");
    }
}
