//! A planned stop cuts nothing, and no process ends without one.

use std::time::Duration;

use super::calm::is_without_faults;
use super::{Bounds, Guarantee, Violation};
use crate::records::{
    Attempt, Elapsed, History, Outcome, PlannedStop, Process, Run, RunEnd, UnexpectedExit,
};

/// How long after the exit a cut still counts for the stop of an entry.
const ENTRY_TAIL: Duration = Duration::from_secs(1);
/// The same for a guard: what it left at its target lapses after a lease.
const GUARD_TAIL: Duration = Duration::from_millis(1_300);

/// A guard that stops so long after it was asked to has given up what is left, as its settings say.
const GUARD_DRAIN: Duration = Duration::from_secs(5);

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let stops = history.stops.iter();
    let cuts = stops.flat_map(|stop| match stop.process {
        Process::Entry(entry) => find_cut_requests(history, bounds, stop, entry),
        Process::Guard(guard) => find_cut_runs(history, bounds, stop, guard),
        Process::Control(_) => Vec::new(),
    });
    cuts.chain(history.own_ends.iter().map(report_own_end))
        .collect()
}

/// Returns the span of a stop in which nothing may be cut; `None` while it lasts, or if a fault was near.
fn find_span(
    history: &History,
    bounds: &Bounds,
    stop: &PlannedStop,
    tail: Duration,
) -> Option<(Elapsed, Elapsed)> {
    let until = stop.exited_at? + tail;
    let since = stop.asked_at.saturating_sub(bounds.quiet_period);
    is_without_faults(history, since, until).then_some((stop.asked_at, until))
}

fn find_cut_requests(
    history: &History,
    bounds: &Bounds,
    stop: &PlannedStop,
    entry: usize,
) -> Vec<Violation> {
    let Some((from, until)) = find_span(history, bounds, stop, ENTRY_TAIL) else {
        return Vec::new();
    };
    let attempts = history.attempts.iter();
    attempts
        .filter(|attempt| attempt.entry == entry)
        .filter_map(|attempt| {
            let (at, outcome) = attempt.outcome?;
            let is_cut = outcome == Outcome::Broken && from <= at && at <= until;
            (is_cut && was_read(history, bounds, attempt, at)).then(|| {
                let what = format!(
                    "job {} lost its connection to {}, which was asked to stop at {:.3} s",
                    attempt.job,
                    stop.process,
                    from.as_secs_f64()
                );
                Violation::new(Guarantee::StopCutsNothing, at, what)
            })
        })
        .collect()
}

/// Returns whether a request that broke off counts as read: something of it has run, or it was there for a while.
fn was_read(history: &History, bounds: &Bounds, attempt: &Attempt, broke_at: Elapsed) -> bool {
    let has_run = history.runs.iter().any(|run| {
        run.job == attempt.job && attempt.sent_at <= run.started_at && run.started_at <= broke_at
    });
    has_run || broke_at > attempt.sent_at + bounds.unread_grace
}

fn find_cut_runs(
    history: &History,
    bounds: &Bounds,
    stop: &PlannedStop,
    guard: usize,
) -> Vec<Violation> {
    let Some((from, until)) = find_span(history, bounds, stop, GUARD_TAIL) else {
        return Vec::new();
    };
    let exited_at = stop.exited_at.unwrap_or(until);
    let own = history.runs.iter().filter(|run| run.target == guard);
    own.filter_map(|run| {
        let how = find_cut(run, stop.asked_at, exited_at, until)?;
        let what = format!(
            "job {} task {} {how} at target {}, whose guard was asked to stop at {:.3} s",
            run.job,
            run.task,
            run.target,
            from.as_secs_f64()
        );
        Some(Violation::new(Guarantee::StopCutsNothing, exited_at, what))
    })
    .collect()
}

/// Returns how the stop of its guard has cut a run, if it has: it lapsed, or it was at work when the guard was gone before its time.
fn find_cut(
    run: &Run,
    asked_at: Elapsed,
    exited_at: Elapsed,
    until: Elapsed,
) -> Option<&'static str> {
    if matches!(run.end, Some((at, RunEnd::Lapsed)) if asked_at <= at && at <= until) {
        return Some("lapsed");
    }
    let is_at_work = run.started_at < exited_at && run.end.is_none_or(|(at, _)| at > exited_at);
    (is_at_work && exited_at < asked_at + GUARD_DRAIN).then_some("was left at work")
}

fn report_own_end(end: &UnexpectedExit) -> Violation {
    let what = format!("{} ended by itself", end.process);
    Violation::new(Guarantee::NoOwnEnd, end.at, what)
}
