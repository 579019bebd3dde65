//! Acknowledged evacuations are in force and shown.

use super::calm::is_target_in_touch;
use super::{Bounds, Guarantee, Violation};
use crate::records::{Elapsed, HallAction, HallOrder, HallRead, History, Run};

/// An acknowledged wish, and until when nobody wanted anything else of the hall.
struct Held<'a> {
    order: &'a HallOrder,
    from: Elapsed,
    until: Elapsed,
}

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let held: Vec<Held> = list_held(history).collect();
    let runs = held.iter().flat_map(|held| {
        let runs = history.runs.iter();
        runs.filter(|run| is_forbidden(run, held, history, bounds))
            .map(|run| report_run(run, held))
    });
    let reads = held.iter().flat_map(|held| {
        let reads = history.hall_reads.iter();
        reads
            .filter(|read| is_wrong(read, held))
            .map(|read| report_read(read, held))
    });
    runs.chain(reads).collect()
}

/// Lists the acknowledged wishes with their spans.
fn list_held(history: &History) -> impl Iterator<Item = Held<'_>> {
    let orders = history.hall_orders.iter();
    orders.filter_map(|order| {
        let from = order.acknowledged_at?;
        let later = history.hall_orders.iter();
        let until = later
            .filter(|later| later.hall == order.hall && later.sent_at >= from)
            .map(|later| later.sent_at)
            .min();
        Some(Held {
            order,
            from,
            until: until.unwrap_or(Elapsed::MAX),
        })
    })
}

fn is_forbidden(run: &Run, held: &Held, history: &History, bounds: &Bounds) -> bool {
    let hall = history.target_halls.get(run.target);
    let is_there = hall == Some(&held.order.hall);
    let is_due = run.started_at > held.from + bounds.apply && run.started_at < held.until;
    let since = run
        .started_at
        .saturating_sub(bounds.quiet_period + bounds.apply);
    held.order.wish == HallAction::Evacuate
        && is_there
        && is_due
        && !run.is_late
        && is_target_in_touch(history, run.target, since, run.started_at)
}

fn is_wrong(read: &HallRead, held: &Held) -> bool {
    let is_within = read.asked_at > held.from && read.answered_at < held.until;
    let is_listed = read.halls.contains(&held.order.hall);
    is_within && is_listed != (held.order.wish == HallAction::Evacuate)
}

fn report_run(run: &Run, held: &Held) -> Violation {
    let what = format!(
        "job {} task {} began at target {} in {}, whose evacuation was acknowledged at {:.3} s",
        run.job,
        run.task,
        run.target,
        held.order.hall,
        held.from.as_secs_f64()
    );
    Violation::new(Guarantee::HallStaysEmpty, run.started_at, what)
}

fn report_read(read: &HallRead, held: &Held) -> Violation {
    let what = format!(
        "control-{} listed {:?}, and {:?} of {} was acknowledged at {:.3} s",
        read.control,
        read.halls,
        held.order.wish,
        held.order.hall,
        held.from.as_secs_f64()
    );
    Violation::new(Guarantee::HallsAsOrdered, read.asked_at, what)
}
