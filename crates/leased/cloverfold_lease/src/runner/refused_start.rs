//! Decides what follows when the target refuses a start; `Runner::receive_start_refusal` carries it out.

use crate::messages::RunRefusal;
use crate::runner::answers::StartRefusal;
use crate::runner::run::MAX_START_ATTEMPTS;

/// The reaction to a refused start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RefusedStartStep {
    /// Send it again with a new deadline and the current fencing token: the only start that was sent had no effect.
    Replace,
    /// Send the same start again: an earlier one may still be executed, so its deadline must not move.
    Retry,
    /// Refuse the run at once: the only start that was sent had no effect.
    Refuse(RunRefusal),
    /// Refuse the run once its end is certain: an earlier start may still be executed.
    StopThenRefuse(RunRefusal),
}

/// Returns the reaction to a refusal; `attempts` is the number of starts that were sent, 1 or more.
///
/// A refusal because of a low fencing token or a passed deadline leads to a further start, up to [`MAX_START_ATTEMPTS`]. Any other refusal
/// goes to the dispatcher, which tries elsewhere. From the second start on nothing is certain about the first one, since a refusal
/// concerns only the start that it answers.
pub(super) fn step_after_refused_start(refusal: StartRefusal, attempts: u32) -> RefusedStartStep {
    let is_first = attempts == 1;
    let can_succeed_later = matches!(refusal, StartRefusal::Fenced | StartRefusal::Late);
    if can_succeed_later && attempts < MAX_START_ATTEMPTS {
        return if is_first {
            RefusedStartStep::Replace
        } else {
            RefusedStartStep::Retry
        };
    }
    let reason = reason_for_dispatcher(refusal);
    if is_first {
        RefusedStartStep::Refuse(reason)
    } else {
        RefusedStartStep::StopThenRefuse(reason)
    }
}

/// Returns the refusal to report to the dispatcher.
fn reason_for_dispatcher(refusal: StartRefusal) -> RunRefusal {
    match refusal {
        StartRefusal::Fenced | StartRefusal::Late | StartRefusal::OtherIncarnation => {
            RunRefusal::NoTarget
        }
        StartRefusal::Stale => RunRefusal::Stale,
        StartRefusal::NoCapacity => RunRefusal::NoCapacity,
        StartRefusal::Unhealthy => RunRefusal::Unhealthy,
        StartRefusal::Unreachable => RunRefusal::Unanswered,
        StartRefusal::Invalid => RunRefusal::Rejected,
    }
}
