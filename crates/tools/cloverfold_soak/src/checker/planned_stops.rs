//! Checks that a planned stop interrupts nothing, and that no process exits without a stop or a fault.

use std::time::Duration;

use super::disturbances::is_fault_free;
use super::{Bounds, Guarantee, Violation};
use crate::records::{
    Attempt, Elapsed, History, Outcome, PlannedStop, Process, Run, RunEnd, UnexpectedExit,
};

/// A connection lost within this time after the exit of an entry counts as interrupted by its stop.
const ENTRY_STOP_WINDOW: Duration = Duration::from_secs(1);
/// The same for the runs of a guard, which lapse only when their lease expires.
const GUARD_STOP_WINDOW: Duration = Duration::from_millis(1_300);

/// A guard that takes at least this long to stop has reached its drain timeout and may abandon runs.
const GUARD_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let stops = history.stops.iter();
    let interruptions = stops.flat_map(|stop| match stop.process {
        Process::Entry(entry) => find_interrupted_requests(history, bounds, stop, entry),
        Process::Guard(guard) => find_interrupted_runs(history, bounds, stop, guard),
        Process::Control(_) => Vec::new(),
    });
    interruptions
        .chain(history.unexpected_exits.iter().map(report_unexpected_exit))
        .collect()
}

/// Returns the span of a stop in which nothing may be interrupted; `None` if the stop is not over or a fault overlaps.
fn find_stop_window(
    history: &History,
    bounds: &Bounds,
    stop: &PlannedStop,
    window: Duration,
) -> Option<(Elapsed, Elapsed)> {
    let until = stop.exited_at? + window;
    let since = stop.requested_at.saturating_sub(bounds.quiet_period);
    is_fault_free(history, since, until).then_some((stop.requested_at, until))
}

fn find_interrupted_requests(
    history: &History,
    bounds: &Bounds,
    stop: &PlannedStop,
    entry: usize,
) -> Vec<Violation> {
    let Some((from, until)) = find_stop_window(history, bounds, stop, ENTRY_STOP_WINDOW) else {
        return Vec::new();
    };
    let attempts = history.attempts.iter();
    attempts
        .filter(|attempt| attempt.entry == entry)
        .filter_map(|attempt| {
            let (at, outcome) = attempt.outcome?;
            let is_interrupted = outcome == Outcome::ConnectionLost && from <= at && at <= until;
            (is_interrupted && was_read(history, bounds, attempt, at)).then(|| {
                let description = format!(
                    "job {} lost its connection to {}, which received its stop request at {:.3} s",
                    attempt.job,
                    stop.process,
                    from.as_secs_f64()
                );
                Violation::new(Guarantee::StopCutsNothing, at, description)
            })
        })
        .collect()
}

/// Returns whether a request that broke off counts as read: one of its tasks has run, or it was open for [`Bounds::unread_grace`].
fn was_read(history: &History, bounds: &Bounds, attempt: &Attempt, broke_at: Elapsed) -> bool {
    let has_run = history.runs.iter().any(|run| {
        run.job == attempt.job && attempt.sent_at <= run.started_at && run.started_at <= broke_at
    });
    has_run || broke_at > attempt.sent_at + bounds.unread_grace
}

fn find_interrupted_runs(
    history: &History,
    bounds: &Bounds,
    stop: &PlannedStop,
    guard: usize,
) -> Vec<Violation> {
    let Some((from, until)) = find_stop_window(history, bounds, stop, GUARD_STOP_WINDOW) else {
        return Vec::new();
    };
    let exited_at = stop.exited_at.unwrap_or(until);
    let own_runs = history.runs.iter().filter(|run| run.target == guard);
    own_runs.filter_map(|run| {
        let how = describe_interruption(run, stop.requested_at, exited_at, until)?;
        let description = format!(
            "job {} task {} {how} at target {}, whose guard received its stop request at {:.3} s",
            run.job,
            run.task,
            run.target,
            from.as_secs_f64()
        );
        Some(Violation::new(Guarantee::StopCutsNothing, exited_at, description))
    })
    .collect()
}

/// Returns how the stop of the guard interrupted a run, if it did: the run lapsed, or it was active when the guard exited before its
/// drain timeout.
fn describe_interruption(
    run: &Run,
    requested_at: Elapsed,
    exited_at: Elapsed,
    until: Elapsed,
) -> Option<&'static str> {
    if matches!(run.end, Some((at, RunEnd::Lapsed)) if requested_at <= at && at <= until) {
        return Some("lapsed");
    }
    let is_active = run.started_at < exited_at && run.end.is_none_or(|(at, _)| at > exited_at);
    (is_active && exited_at < requested_at + GUARD_DRAIN_TIMEOUT).then_some("was abandoned")
}

fn report_unexpected_exit(end: &UnexpectedExit) -> Violation {
    let description = format!("{} exited unexpectedly", end.process);
    Violation::new(Guarantee::NoOwnEnd, end.at, description)
}
