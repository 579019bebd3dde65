//! Decision: whether a run that the target does not list is over, and with which outcome.
//!
//! The one rule that ends a run although the target reports no end. Pure: owns no state, relies on [`RunState`].

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal};
use crate::runner::run::{EndProof, PendingStop, RunState};
use crate::timings::TargetTime;

/// When a list of the target's runs was made, on both clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListTimes {
    /// When the target was asked, on the runner's clock. The list is at least as new as this.
    pub(super) asked_at: Timestamp,
    /// The target's clock in its answer.
    pub(super) clock: TargetTime,
    /// With which it was asked: since then it refuses lower ones.
    pub(super) fencing_token: u64,
}

/// Decides whether a run that a list leaves out is certainly over, and with which outcome; none while it may run or start.
///
/// - Waiting: nothing was sent, so no list can contain it.
/// - Starting: the target refuses a start after its deadline. Once the target's clock is past it, the run never ran.
/// - Running: confirmed before the target was asked, so it has been there and is gone: lost. A list that was asked for before the
///   confirmation may be older than the run.
/// - Stopping: see [`outcome_of_unlisted_stop`].
///
/// No constant: the deadline of a start is set by `TargetIncarnation::extend_lease`.
pub(super) fn outcome_of_unlisted_run(state: &RunState, list: ListTimes) -> Option<RunOutcome> {
    match state {
        RunState::Waiting { .. } => None,
        RunState::Starting(start) => {
            let never_ran = RunOutcome::NotStarted(RunRefusal::Unanswered);
            (list.clock > start.deadline).then_some(never_ran)
        }
        RunState::Running { confirmed_at } => {
            (list.asked_at > *confirmed_at).then_some(RunOutcome::Lost)
        }
        RunState::Stopping(stop) => outcome_of_unlisted_stop(stop, list),
    }
}

/// Decides the same for a run whose stop was sent.
///
/// If its start was not acknowledged, the start may still be carried out after the stop: only the start's deadline ends that. A run that
/// was known to run is stopped once a list that was asked for after the stop leaves it out. One of an earlier incarnation of the target is over
/// once this incarnation refuses that one's orders: their deadlines are times of another clock.
fn outcome_of_unlisted_stop(stop: &PendingStop, list: ListTimes) -> Option<RunOutcome> {
    match stop.proof {
        EndProof::StartExpired(deadline) => {
            (list.clock > deadline).then_some(stop.outcome_if_never_started)
        }
        EndProof::ListedAfterStop => {
            (list.asked_at > stop.first_sent_at).then_some(RunOutcome::Stopped)
        }
        EndProof::IncarnationFenced(token) => {
            (list.fencing_token >= token).then_some(stop.outcome_if_never_started)
        }
    }
}
