//! Checks that acknowledged evacuations are in force and listed.

use super::disturbances::is_target_undisturbed;
use super::{Bounds, Guarantee, Violation};
use crate::records::{Elapsed, HallAction, HallOrder, HallRead, History, Run};

/// An acknowledged order with the span until the next order for the same data hall.
struct AcknowledgedOrder<'a> {
    order: &'a HallOrder,
    from: Elapsed,
    until: Elapsed,
}

pub(super) fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
    let acknowledged: Vec<AcknowledgedOrder> = list_acknowledged(history).collect();
    let runs = acknowledged.iter().flat_map(|acknowledged| {
        let runs = history.runs.iter();
        runs.filter(|run| is_forbidden(run, acknowledged, history, bounds))
            .map(|run| report_run(run, acknowledged))
    });
    let reads = acknowledged.iter().flat_map(|acknowledged| {
        let reads = history.hall_reads.iter();
        reads
            .filter(|read| contradicts_order(read, acknowledged))
            .map(|read| report_read(read, acknowledged))
    });
    runs.chain(reads).collect()
}

/// Lists the acknowledged orders with their spans.
fn list_acknowledged(history: &History) -> impl Iterator<Item = AcknowledgedOrder<'_>> {
    let orders = history.hall_orders.iter();
    orders.filter_map(|order| {
        let from = order.acknowledged_at?;
        let later = history.hall_orders.iter();
        let until = later
            .filter(|later| later.hall == order.hall && later.sent_at >= from)
            .map(|later| later.sent_at)
            .min();
        Some(AcknowledgedOrder {
            order,
            from,
            until: until.unwrap_or(Elapsed::MAX),
        })
    })
}

fn is_forbidden(
    run: &Run,
    acknowledged: &AcknowledgedOrder,
    history: &History,
    bounds: &Bounds,
) -> bool {
    let hall = history.target_halls.get(run.target);
    let is_in_hall = hall == Some(&acknowledged.order.hall);
    let is_due =
        run.started_at > acknowledged.from + bounds.apply && run.started_at < acknowledged.until;
    let since = run
        .started_at
        .saturating_sub(bounds.quiet_period + bounds.apply);
    acknowledged.order.action == HallAction::Evacuate
        && is_in_hall
        && is_due
        && !run.is_late
        && is_target_undisturbed(history, run.target, since, run.started_at)
}

fn contradicts_order(read: &HallRead, acknowledged: &AcknowledgedOrder) -> bool {
    let is_within = read.requested_at > acknowledged.from && read.answered_at < acknowledged.until;
    let is_listed = read.halls.contains(&acknowledged.order.hall);
    is_within && is_listed != (acknowledged.order.action == HallAction::Evacuate)
}

fn report_run(run: &Run, acknowledged: &AcknowledgedOrder) -> Violation {
    let description = format!(
        "job {} task {} started at target {} in {}, whose evacuation was acknowledged at {:.3} s",
        run.job,
        run.task,
        run.target,
        acknowledged.order.hall,
        acknowledged.from.as_secs_f64()
    );
    Violation::new(Guarantee::HallStaysEmpty, run.started_at, description)
}

fn report_read(read: &HallRead, acknowledged: &AcknowledgedOrder) -> Violation {
    let description = format!(
        "control-{} listed {:?}, but {:?} of {} was acknowledged at {:.3} s",
        read.control,
        read.halls,
        acknowledged.order.action,
        acknowledged.order.hall,
        acknowledged.from.as_secs_f64()
    );
    Violation::new(Guarantee::HallsAsOrdered, read.requested_at, description)
}
