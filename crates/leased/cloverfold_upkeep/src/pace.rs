//! Decision: how many boxes of a wave go down at once.
//!
//! Rule: as few as let all that wait begin in time, at least one and never more than the order allows. The time counted on is what is
//! left of the span less a fifth of it as a reserve, or less one cycle where that is more. Inputs: how many boxes wait, what the order
//! allows, how long one box takes from its choice until it is up again (a cycle), what is left of the span.
//!
//! Reason: the time that boxes are away is the same in all; spread over the span it costs least room at any moment, and a wave that was
//! held up at first catches up by itself, since less time is left.

use std::time::Duration;

/// The part of the span that is kept as a reserve for calls that are repeated and holders that change. Chosen, not measured.
const RESERVE_PART: u32 = 5;

/// How fast a wave goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WavePace {
    /// How many boxes may be down at once at present.
    pub at_once: u32,
    /// By how much the last box is expected to begin too late; `None` while all are expected to begin in time.
    pub late_by: Option<Duration>,
}

/// Returns the pace of a wave in which so many boxes wait.
pub fn plan_pace(waiting: usize, most_down: u32, cycle: Duration, left: Duration) -> WavePace {
    let reserve = (left / RESERVE_PART).max(cycle).min(left);
    let rounds = count_rounds(left - reserve, cycle);
    let needed = waiting.div_ceil(rounds);
    let most = most_down.max(1);
    WavePace {
        at_once: u32::try_from(needed).unwrap_or(u32::MAX).clamp(1, most),
        late_by: find_delay(waiting, most, cycle, left),
    }
}

/// Returns how many boxes can begin after one another within a span: the first at its beginning.
fn count_rounds(span: Duration, cycle: Duration) -> usize {
    let whole = span.as_millis() / cycle.as_millis().max(1);
    usize::try_from(whole).unwrap_or(usize::MAX - 1) + 1
}

/// Returns by how much the last box begins too late if as many go down at once as the order allows.
fn find_delay(waiting: usize, most_down: u32, cycle: Duration, left: Duration) -> Option<Duration> {
    let rounds_before_last = waiting.div_ceil(most_down as usize).checked_sub(1)?;
    let rounds_before_last = u32::try_from(rounds_before_last).unwrap_or(u32::MAX);
    let last_begins = cycle.saturating_mul(rounds_before_last);
    let is_late = last_begins > left || left.is_zero();
    is_late.then(|| last_begins.saturating_sub(left))
}
