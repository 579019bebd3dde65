//! Response and waste while processes die or stop under load.
//!
//! Prints the table of faults of `docs/MEASUREMENTS.md`. Relies on release binaries that were built before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_benches::ProcessSystem;
use cloverfold_load::{
    EvenLoad, LoadPlan, LoadReport, MetricsTotals, WasteReport, read_metrics, run_load,
};
use cloverfold_solo::SERVICE;
use eyre::Result;
use rustix::process::Signal;
use tokio::time::sleep;

const GUARDS: usize = 11;
const ENTRIES: usize = 3;
/// Length of each run.
const LENGTH: Duration = Duration::from_secs(10);
/// Time of the fault from the start of the run.
const FAULT_AFTER: Duration = Duration::from_secs(4);
/// Share of all slots that the load occupies.
const LOAD_SHARE: f64 = 0.4;
/// Least and most tasks of a job.
const JOB_SIZE: (usize, usize) = (1, 4);
/// Place of the lead in the list of processes.
const LEAD: usize = 0;
/// Place of some other guard.
const GUARD: usize = 5;
/// Place of the first entry.
const ENTRY: usize = GUARDS;

/// The fault of one run.
struct Fault {
    name: &'static str,
    process: usize,
    signal: Option<Signal>,
}

const FAULTS: [Fault; 6] = [
    Fault {
        name: "none",
        process: GUARD,
        signal: None,
    },
    Fault {
        name: "guard stopped as planned",
        process: GUARD,
        signal: Some(Signal::TERM),
    },
    Fault {
        name: "lead stopped as planned",
        process: LEAD,
        signal: Some(Signal::TERM),
    },
    Fault {
        name: "entry stopped as planned",
        process: ENTRY,
        signal: Some(Signal::TERM),
    },
    Fault {
        name: "guard killed",
        process: GUARD,
        signal: Some(Signal::KILL),
    },
    Fault {
        name: "lead killed",
        process: LEAD,
        signal: Some(Signal::KILL),
    },
];

#[tokio::main]
async fn main() -> Result<()> {
    // The test runner lists benches with a flag that asks for no run.
    if std::env::args().any(|arg| arg == "--list") {
        return Ok(());
    }
    println!("fault                     p50    p99    max     waste   outcomes");
    for fault in &FAULTS {
        measure(fault).await?;
    }
    Ok(())
}

async fn measure(fault: &Fault) -> Result<()> {
    let system = ProcessSystem::start(GUARDS, ENTRIES).await?;
    // A process that ends takes its counts along, so only the others are read.
    let processes: Vec<SocketAddr> = system
        .list_processes()
        .into_iter()
        .enumerate()
        .filter(|(place, _)| *place != fault.process)
        .map(|(_, (_, _, http))| http)
        .collect();
    let before = read_metrics(system.client(), &processes).await?;
    let plan = build_plan(&system, fault);
    let disturb = async {
        sleep(FAULT_AFTER).await;
        if let Some(signal) = fault.signal {
            system.signal(fault.process, signal)?;
        }
        Ok::<(), eyre::Report>(())
    };
    let (report, disturbed) = tokio::join!(run_load(&plan), disturb);
    disturbed?;
    let after = read_metrics(system.client(), &processes).await?;
    print_row(
        fault,
        &report?,
        &after.since(&before),
        system.count_starts(),
    );
    Ok(())
}

fn build_plan(system: &ProcessSystem, fault: &Fault) -> LoadPlan {
    let mut entries = system.entry_addresses();
    if fault.process == ENTRY {
        // A balancer takes a stopping entry out of use. The plan does so from the start, so that the run shows
        // whether the others are affected.
        entries.remove(0);
    }
    let even = EvenLoad {
        entries,
        callers: system.callers(),
        service: SERVICE.into(),
        slots: system.slots(),
        share: LOAD_SHARE,
        job_size: JOB_SIZE,
        length: LENGTH,
        seed: 1,
    };
    even.make_plan()
}

fn print_row(fault: &Fault, report: &LoadReport, metrics: &MetricsTotals, starts: u64) {
    let total = report.total();
    let waste = WasteReport::gather(metrics, starts, total.useful_tasks);
    let outcomes: BTreeMap<_, _> = total.outcomes.iter().collect();
    println!(
        "{:<25} {:.3}  {:.3}  {:>6.3}  {:.4}  {outcomes:?}",
        fault.name,
        total.ratio_at(0.5),
        total.ratio_at(0.99),
        total.largest_ratio(),
        waste.waste_per_start(),
    );
}
