//! Checks that runs of one task do not overlap.

use std::collections::HashMap;

use super::{Guarantee, Violation};
use crate::records::{Elapsed, History, Run};

pub(super) fn check(history: &History) -> Vec<Violation> {
    let mut tasks: HashMap<(&str, u32), Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        tasks.entry((&run.job, run.task)).or_default().push(run);
    }
    tasks.into_values().flat_map(find_overlaps).collect()
}

/// Compares each run of a task with the earlier run that ended last.
fn find_overlaps(mut runs: Vec<&Run>) -> Vec<Violation> {
    runs.sort_by_key(|run| run.started_at);
    let mut last: Option<&Run> = None;
    let mut violations = Vec::new();
    for run in runs {
        if let Some(earlier) = last.filter(|earlier| run.started_at < end_of(earlier)) {
            violations.push(report(earlier, run));
        }
        if last.is_none_or(|earlier| end_of(run) >= end_of(earlier)) {
            last = Some(run);
        }
    }
    violations
}

fn end_of(run: &Run) -> Elapsed {
    run.end.map_or(Elapsed::MAX, |(at, _)| at)
}

fn report(earlier: &Run, later: &Run) -> Violation {
    let description = format!(
        "job {} task {}: run {} at target {} started at {:.3} s before run {} at target {} (from {:.3} s) had ended: {:?}",
        later.job,
        later.task,
        later.number,
        later.target,
        later.started_at.as_secs_f64(),
        earlier.number,
        earlier.target,
        earlier.started_at.as_secs_f64(),
        earlier.end,
    );
    Violation::new(Guarantee::OneRunAtOnce, later.started_at, description)
}
