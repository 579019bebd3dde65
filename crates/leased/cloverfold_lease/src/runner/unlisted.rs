//! Decides whether a run that the target does not list has ended, and with which outcome.
//!
//! This is the only rule that ends a run without an end reported by the target.

use cloverfold_base::Timestamp;

use crate::messages::{RunOutcome, RunRefusal};
use crate::runner::run::{EndProof, PendingStop, RunState};
use crate::timings::TargetTime;

/// When and how a list was requested, and the target's clock in it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListContext {
    /// When the list was requested, on the runner's clock; the list is at least as new.
    pub(super) requested_at: Timestamp,
    /// The target's clock in its answer.
    pub(super) clock: TargetTime,
    /// The fencing token of the request; from then on the target refuses lower ones.
    pub(super) fencing_token: u64,
}

/// Returns the outcome of a run that a list leaves out; `None` while it may still run or start.
///
/// - Waiting: nothing was sent, so no list can contain it.
/// - Starting: the target refuses a start after its deadline. Once the target's clock is past it, the run never ran.
/// - Running: it was confirmed before the list was requested, so the target had it and has lost it. A list that was requested before the
///   confirmation may be older than the run.
/// - Stopping: see [`outcome_of_unlisted_stop`].
pub(super) fn outcome_of_unlisted_run(state: &RunState, list: ListContext) -> Option<RunOutcome> {
    match state {
        RunState::Waiting { .. } => None,
        RunState::Starting(start) => {
            let never_ran = RunOutcome::NotStarted(RunRefusal::Unanswered);
            (list.clock > start.deadline).then_some(never_ran)
        }
        RunState::Running { confirmed_at } => {
            (list.requested_at > *confirmed_at).then_some(RunOutcome::Lost)
        }
        RunState::Stopping(stop) => outcome_of_unlisted_stop(stop, list),
    }
}

/// Returns the outcome of an unlisted run whose stop was sent.
///
/// If its start was not acknowledged, the target may still execute it after the stop, until the start's deadline. A confirmed run is
/// stopped once a list requested after the stop leaves it out. A run of an earlier incarnation has ended once the current incarnation
/// refuses the orders to that one; their deadlines are on another clock.
fn outcome_of_unlisted_stop(stop: &PendingStop, list: ListContext) -> Option<RunOutcome> {
    match stop.proof {
        EndProof::StartExpired(deadline) => {
            (list.clock > deadline).then_some(stop.outcome_if_never_started)
        }
        EndProof::ListedAfterStop => {
            (list.requested_at > stop.first_sent_at).then_some(RunOutcome::Stopped)
        }
        EndProof::IncarnationFenced(token) => {
            (list.fencing_token >= token).then_some(stop.outcome_if_never_started)
        }
    }
}
