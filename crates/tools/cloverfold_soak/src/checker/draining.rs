//! Checks that a draining target starts no new runs.

use super::disturbances::is_target_undisturbed;
use super::{Bounds, Guarantee, Violation};
use crate::records::{Drain, History, Run};

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let drains = history.drains.iter();
    drains
        .flat_map(|drain| {
            let violating = history
                .runs
                .iter()
                .filter(|run| violates_drain(run, drain, history, bounds));
            violating.map(|run| report(run, drain))
        })
        .collect()
}

fn violates_drain(run: &Run, drain: &Drain, history: &History, bounds: &Bounds) -> bool {
    let is_same_incarnation = run.target == drain.target && run.incarnation == drain.incarnation;
    let since = run.started_at.saturating_sub(bounds.quiet_period);
    is_same_incarnation
        && !run.is_late
        && run.started_at > drain.acknowledged_at + bounds.drain
        && is_target_undisturbed(history, run.target, since, run.started_at)
}

fn report(run: &Run, drain: &Drain) -> Violation {
    let description = format!(
        "job {} task {} started at target {}, whose drain was acknowledged at {:.3} s",
        run.job,
        run.task,
        run.target,
        drain.acknowledged_at.as_secs_f64()
    );
    Violation::new(Guarantee::NoWorkForLeaving, run.started_at, description)
}
