//! A target that leaves gets no new work.

use super::calm::is_target_in_touch;
use super::{Bounds, Guarantee, Violation};
use crate::records::{Drain, History, Run};

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let drains = history.drains.iter();
    drains
        .flat_map(|drain| {
            let late = history
                .runs
                .iter()
                .filter(|run| is_too_late(run, drain, history, bounds));
            late.map(|run| report(run, drain))
        })
        .collect()
}

fn is_too_late(run: &Run, drain: &Drain, history: &History, bounds: &Bounds) -> bool {
    let is_there = run.target == drain.target && run.incarnation == drain.incarnation;
    let since = run.started_at.saturating_sub(bounds.quiet_period);
    is_there
        && !run.is_late
        && run.started_at > drain.acknowledged_at + bounds.drain
        && is_target_in_touch(history, run.target, since, run.started_at)
}

fn report(run: &Run, drain: &Drain) -> Violation {
    let what = format!(
        "job {} task {} began at target {}, which leaves; that was acknowledged at {:.3} s",
        run.job,
        run.task,
        run.target,
        drain.acknowledged_at.as_secs_f64()
    );
    Violation::new(Guarantee::NoWorkForLeaving, run.started_at, what)
}
