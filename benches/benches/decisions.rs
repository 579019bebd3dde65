//! Measures how the time of one scheduling decision grows with the number of boxes.
//!
//! Calls `cloverfold_claims_core` directly and starts no process.

use std::hint::black_box;
use std::time::{Duration, Instant};

use cloverfold_claims_core::{
    Admission, Capacity, Cell, Flow, GuardPhase, GuardReport, GuardTable, Location, Placement,
    PlacementPolicy, Ticket,
};

const BOX_COUNTS: [usize; 4] = [10, 100, 1_000, 8_000];
const WORKSPACES: usize = 120;
/// Number of decisions for each mean.
const ROUNDS: u32 = 200;
/// Current time for all decisions.
const NOW: Duration = Duration::from_secs(1);
/// Age at which a report is stale. All reports here are younger.
const STALE_AFTER: Duration = Duration::from_secs(2);

fn main() {
    // The test runner passes `--list` to list benches without running them.
    if std::env::args().any(|arg| arg == "--list") {
        return;
    }
    println!(
        "boxes   choose group us   place 1 task us   place 100 tasks us   admit 1 of 120 workspaces us"
    );
    for boxes in BOX_COUNTS {
        let cell = make_cell(boxes);
        let group = measure_mean(|round| {
            black_box(cell.choose_replica_group(&[round as u8; 16]));
        });
        let mut table = make_table(boxes);
        let place_one = measure_mean(|round| place(&mut table, 1, round));
        let place_many = measure_mean(|round| place(&mut table, 100, round));
        let mut admission = make_admission();
        let capacity = Capacity {
            free: boxes * 8,
            total: boxes * 8,
            backlog: 0,
        };
        let admit = measure_mean(|round| {
            black_box(admission.admit_next(capacity));
            admission
                .push(make_ticket(u64::from(round) + 10_000), usize::MAX)
                .unwrap_or_else(|_| unreachable!("the queue has no limit"));
        });
        println!(
            "{boxes:<7} {:>15.1}   {:>15.1}   {:>18.1}   {:>28.1}",
            to_micros(group),
            to_micros(place_one),
            to_micros(place_many),
            to_micros(admit),
        );
    }
}

/// Returns the mean time of a decision.
fn measure_mean(mut decide: impl FnMut(u32)) -> Duration {
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        decide(round);
    }
    started_at.elapsed() / ROUNDS
}

fn to_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

fn make_cell(boxes: usize) -> Cell {
    let locate = |index: usize| Location {
        guard: index as u16,
        data_hall: format!("hall-{}", index % 12),
        rack: format!("rack-{}", index / 36),
    };
    Cell::new((0..boxes).map(locate).collect(), 3)
}

fn make_table(boxes: usize) -> GuardTable {
    let mut table = GuardTable::default();
    for index in 0..boxes {
        let report = GuardReport {
            placement: Placement {
                guard: index as u16,
                incarnation: 1,
            },
            sequence: 1,
            phase: GuardPhase::Live,
            is_whole: true,
            running: index as u32 % 8,
            queued: 0,
            slots: 8,
            age: Duration::ZERO,
        };
        table.record_report(report, NOW);
    }
    table
}

fn place(table: &mut GuardTable, count: usize, round: u32) {
    let policy = PlacementPolicy::LeastLoaded;
    let draw = |bound: usize| round as usize % bound;
    for placement in table.place_tasks(policy, count, NOW, STALE_AFTER, draw) {
        table.remove_in_flight(placement.guard);
    }
}

fn make_ticket(id: u64) -> Ticket {
    Ticket {
        id,
        flow: Flow {
            service: "sms".into(),
            workspace: format!("team-{}", id as usize % WORKSPACES),
        },
        weight: 1.0,
        tasks: 4,
    }
}

fn make_admission() -> Admission {
    let mut admission = Admission::default();
    for id in 0..1_000 {
        admission
            .push(make_ticket(id), usize::MAX)
            .unwrap_or_else(|_| unreachable!("the queue has no limit"));
    }
    admission
}
