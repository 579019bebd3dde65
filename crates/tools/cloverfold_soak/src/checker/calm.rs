//! Whether something was left alone over a span.

use crate::records::{Disturbance, Elapsed, History, Process, Scope, TargetIndex};

/// Returns whether a disturbance touches a span.
fn touches(disturbance: &Disturbance, from: Elapsed, until: Elapsed) -> bool {
    disturbance.from <= until && disturbance.until.is_none_or(|end| end >= from)
}

/// Returns whether a scope has one of these processes.
fn has_process(scope: &Scope, is_meant: impl Fn(Process) -> bool) -> bool {
    match scope {
        Scope::Processes(processes) => processes.iter().any(|process| is_meant(*process)),
        Scope::Target(_) => false,
        Scope::All => true,
    }
}

/// Returns whether neither this process nor any control process was disturbed over a span.
pub(super) fn is_in_touch(
    history: &History,
    process: Process,
    from: Elapsed,
    until: Elapsed,
) -> bool {
    let is_meant = |other| other == process || matches!(other, Process::Control(_));
    let mut disturbances = history.disturbances.iter();
    !disturbances.any(|disturbance| {
        touches(disturbance, from, until) && has_process(&disturbance.scope, is_meant)
    })
}

/// Returns whether a target and its guard were disturbed over a span.
pub(super) fn is_target_in_touch(
    history: &History,
    target: TargetIndex,
    from: Elapsed,
    until: Elapsed,
) -> bool {
    let mut disturbances = history.disturbances.iter();
    let is_disturbed = disturbances.any(|disturbance| {
        touches(disturbance, from, until) && disturbance.scope == Scope::Target(target)
    });
    !is_disturbed && is_in_touch(history, Process::Guard(target), from, until)
}

/// Returns whether there was no fault at all over a span; planned work is none.
pub(super) fn is_without_faults(history: &History, from: Elapsed, until: Elapsed) -> bool {
    let mut disturbances = history.disturbances.iter();
    !disturbances.any(|disturbance| !disturbance.is_planned && touches(disturbance, from, until))
}

/// Returns when the last disturbance was over; `None` while one lasts.
pub(super) fn find_last_end(history: &History) -> Option<Elapsed> {
    let ends = history.disturbances.iter().map(|one| one.until);
    ends.collect::<Option<Vec<Elapsed>>>()
        .map(|ends| ends.into_iter().max().unwrap_or_default())
}
