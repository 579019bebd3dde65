//! Queries for disturbances that overlap a time span.

use crate::records::{Disturbance, Elapsed, History, Process, Scope, TargetIndex};

/// Returns whether a disturbance overlaps a span.
fn overlaps(disturbance: &Disturbance, from: Elapsed, until: Elapsed) -> bool {
    disturbance.from <= until && disturbance.until.is_none_or(|end| end >= from)
}

/// Returns whether a scope includes a process that matches the predicate.
fn includes_process(scope: &Scope, is_relevant: impl Fn(Process) -> bool) -> bool {
    match scope {
        Scope::Processes(processes) => processes.iter().any(|process| is_relevant(*process)),
        Scope::Target(_) => false,
        Scope::All => true,
    }
}

/// Returns whether neither this process nor any control process was disturbed during a span.
pub(super) fn is_undisturbed(
    history: &History,
    process: Process,
    from: Elapsed,
    until: Elapsed,
) -> bool {
    let is_relevant = |other| other == process || matches!(other, Process::Control(_));
    let mut disturbances = history.disturbances.iter();
    !disturbances.any(|disturbance| {
        overlaps(disturbance, from, until) && includes_process(&disturbance.scope, is_relevant)
    })
}

/// Returns whether neither a target nor its guard nor any control process was disturbed during a span.
pub(super) fn is_target_undisturbed(
    history: &History,
    target: TargetIndex,
    from: Elapsed,
    until: Elapsed,
) -> bool {
    let mut disturbances = history.disturbances.iter();
    let is_disturbed = disturbances.any(|disturbance| {
        overlaps(disturbance, from, until) && disturbance.scope == Scope::Target(target)
    });
    !is_disturbed && is_undisturbed(history, Process::Guard(target), from, until)
}

/// Returns whether no fault overlaps a span. Planned work does not count as a fault.
pub(super) fn is_fault_free(history: &History, from: Elapsed, until: Elapsed) -> bool {
    let mut disturbances = history.disturbances.iter();
    !disturbances.any(|disturbance| !disturbance.is_planned && overlaps(disturbance, from, until))
}

/// Returns the end of the last disturbance, or `None` while one is active.
pub(super) fn find_last_disturbance_end(history: &History) -> Option<Elapsed> {
    let ends = history
        .disturbances
        .iter()
        .map(|disturbance| disturbance.until);
    ends.collect::<Option<Vec<Elapsed>>>()
        .map(|ends| ends.into_iter().max().unwrap_or_default())
}
