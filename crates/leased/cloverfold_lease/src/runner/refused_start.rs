//! Decision: what follows when the target refuses a start.
//!
//! Pure: owns no state, relies on [`StartRefusal`] alone. Carried out by `Runner::receive_start_refusal`.

use crate::messages::RunRefusal;
use crate::runner::answers::StartRefusal;
use crate::runner::run::MAX_START_ATTEMPTS;

/// What to do about a refused start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RefusedStartStep {
    /// Send it again with a new deadline and the present fencing token: the only start that was sent has had no effect.
    Replace,
    /// Send the same start again: an earlier one may still be carried out, so its deadline must not move.
    Repeat,
    /// Give the run back at once: the only start that was sent has had no effect.
    GiveBack(RunRefusal),
    /// Give the run back when its end is certain: an earlier start may still be carried out.
    StopThenGiveBack(RunRefusal),
}

/// Decides what follows a refusal; `attempts` is the number of starts that were sent, 1 or more.
///
/// A refusal for a low fencing token or a late deadline is answered by sending the start again, up to [`MAX_START_ATTEMPTS`] starts. Everything else
/// is given back to the dispatcher, which tries elsewhere. After the second start nothing is certain about the first one: a refusal
/// concerns only the start that it answers.
pub(super) fn step_after_refused_start(refusal: StartRefusal, attempts: u32) -> RefusedStartStep {
    let is_first = attempts == 1;
    let can_succeed_later = matches!(refusal, StartRefusal::Fenced | StartRefusal::Late);
    if can_succeed_later && attempts < MAX_START_ATTEMPTS {
        return if is_first {
            RefusedStartStep::Replace
        } else {
            RefusedStartStep::Repeat
        };
    }
    let reason = reason_for_dispatcher(refusal);
    if is_first {
        RefusedStartStep::GiveBack(reason)
    } else {
        RefusedStartStep::StopThenGiveBack(reason)
    }
}

/// Returns the refusal that is reported to the dispatcher for a start that the target refused for good.
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
