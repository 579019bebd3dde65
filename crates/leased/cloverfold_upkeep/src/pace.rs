//! The pace of a wave: how many of its boxes go down at once.
//!
//! The pace is the lowest with which all waiting boxes begin in time; at least one box, and at most as many as the order allows. Of the
//! remaining time, a fifth or one cycle is kept in reserve, whichever is longer. A cycle is the time from the selection of a box until it
//! is up again.
//!
//! The total downtime is the same at any pace, and spreading it over the whole span leaves the most capacity at any moment. A wave that was
//! delayed catches up, since less time remains.

use std::time::Duration;

/// This fraction (1/n) of the remaining time is kept in reserve for retried calls and changes of the scheduler.
const RESERVE_DIVISOR: u32 = 5;

/// Pace of a wave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WavePace {
    /// How many boxes may currently be down at once.
    pub at_once: u32,
    /// Expected delay of the last box beyond the span; `None` if all boxes are expected to begin in time.
    pub late_by: Option<Duration>,
}

/// Returns the pace of a wave with `waiting` boxes and `time_left` of its span.
pub fn plan_pace(waiting: usize, most_down: u32, cycle: Duration, time_left: Duration) -> WavePace {
    let reserve = (time_left / RESERVE_DIVISOR).max(cycle).min(time_left);
    let rounds = count_rounds(time_left - reserve, cycle);
    let needed = waiting.div_ceil(rounds);
    let limit = most_down.max(1);
    WavePace {
        at_once: u32::try_from(needed).unwrap_or(u32::MAX).clamp(1, limit),
        late_by: expected_delay(waiting, limit, cycle, time_left),
    }
}

/// Returns how many boxes can begin one after another within a span. The first begins at its start.
fn count_rounds(span: Duration, cycle: Duration) -> usize {
    let whole = span.as_millis() / cycle.as_millis().max(1);
    usize::try_from(whole).unwrap_or(usize::MAX - 1) + 1
}

/// Returns by how much the last box begins too late at the highest pace that the order allows.
fn expected_delay(
    waiting: usize,
    most_down: u32,
    cycle: Duration,
    time_left: Duration,
) -> Option<Duration> {
    let rounds_before_last = waiting.div_ceil(most_down as usize).checked_sub(1)?;
    let rounds_before_last = u32::try_from(rounds_before_last).unwrap_or(u32::MAX);
    let last_start = cycle.saturating_mul(rounds_before_last);
    let is_late = last_start > time_left || time_left.is_zero();
    is_late.then(|| last_start.saturating_sub(time_left))
}
