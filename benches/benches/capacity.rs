//! What real processes spend at several sizes of a cell: processor time, memory and bytes.
//!
//! Prints the first table of `docs/CAPACITY.md`. Relies on release binaries that were built before.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_benches::{ProcessSystem, Role, Usage, read_usage};
use cloverfold_load::{LoadPlan, MetricsTotals, UniformLoad, read_metrics, run_load};
use cloverfold_solo::SERVICE;
use eyre::Result;
use tokio::time::sleep;

const ENTRIES: usize = 3;
/// Length of each run.
const LENGTH: Duration = Duration::from_secs(8);
/// Numbers of guards.
const SIZES: [usize; 4] = [5, 11, 22, 44];
/// Wait until the gauges of bytes, updated every 500 ms by `cloverfold_app`, hold all that was sent.
const GAUGES_DELAY: Duration = Duration::from_millis(600);

/// Load of one run.
struct Load {
    name: &'static str,
    /// Share of all slots.
    share: f64,
    job_size: (usize, usize),
}

const LOADS: [Load; 3] = [
    Load {
        name: "idle",
        share: 0.0,
        job_size: (1, 1),
    },
    Load {
        name: "70 %, jobs of 1-4",
        share: 0.7,
        job_size: (1, 4),
    },
    Load {
        name: "70 %, jobs of 20-60",
        share: 0.7,
        job_size: (20, 60),
    },
];

/// What one process had used at a point in time.
struct Snapshot {
    usage: Usage,
    metrics: MetricsTotals,
}

/// What the processes of one role used during a run, added up.
#[derive(Default)]
struct RoleSum {
    processes: f64,
    processor_s: f64,
    resident_mib: f64,
    kib_sent: f64,
    kib_received: f64,
    starts: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    // The test runner lists benches with a flag that asks for no run.
    if std::env::args().any(|arg| arg == "--list") {
        return Ok(());
    }
    println!(
        "guards  load                  role   starts/s  cpu %   cpu us/start  MiB    KiB/s out  KiB/s in  p50    p99"
    );
    for guards in SIZES {
        let system = ProcessSystem::start(guards, ENTRIES).await?;
        for load in &LOADS {
            measure(&system, load).await?;
        }
    }
    Ok(())
}

async fn measure(system: &ProcessSystem, load: &Load) -> Result<()> {
    let before = take_snapshots(system).await?;
    let ratios = put_load_on(system, load).await?;
    let after = take_snapshots(system).await?;
    let starts: f64 = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.count_since(before, "cloverfold_task_starts_total"))
        .sum();
    for role in [Role::Lead, Role::Guard, Role::Entry] {
        let sum = sum_role(system, role, &before, &after);
        print_row(system, load, role, &sum, starts, &ratios);
    }
    Ok(())
}

async fn put_load_on(system: &ProcessSystem, load: &Load) -> Result<String> {
    if load.share == 0.0 {
        sleep(LENGTH).await;
        return Ok("-      -".into());
    }
    let report = run_load(&build_plan(system, load)).await?;
    let total = report.total();
    Ok(format!(
        "{:.3}  {:.3}",
        total.ratio_at(0.5),
        total.ratio_at(0.99)
    ))
}

fn build_plan(system: &ProcessSystem, load: &Load) -> LoadPlan {
    let uniform = UniformLoad {
        entries: system.entry_addresses(),
        callers: system.callers(),
        service: SERVICE.into(),
        slots: system.slots(),
        share: load.share,
        job_size: load.job_size,
        length: LENGTH,
        seed: 1,
    };
    uniform.into_plan()
}

async fn take_snapshots(system: &ProcessSystem) -> Result<Vec<Snapshot>> {
    sleep(GAUGES_DELAY).await;
    let mut snapshots = Vec::new();
    for (_, pid, http) in system.list_processes() {
        let pages: [SocketAddr; 1] = [http];
        snapshots.push(Snapshot {
            usage: read_usage(pid)?,
            metrics: read_metrics(system.client(), &pages).await?,
        });
    }
    Ok(snapshots)
}

impl Snapshot {
    fn count_since(&self, before: &Self, series: &str) -> f64 {
        self.metrics.sum_of(series) - before.metrics.sum_of(series)
    }
}

fn sum_role(
    system: &ProcessSystem,
    role: Role,
    before: &[Snapshot],
    after: &[Snapshot],
) -> RoleSum {
    const KIB: f64 = 1024.0;
    let mut sum = RoleSum::default();
    for (index, (own, _, _)) in system.list_processes().into_iter().enumerate() {
        if own != role {
            continue;
        }
        let (before, after) = (&before[index], &after[index]);
        let processor = after.usage.processor - before.usage.processor;
        sum.processes += 1.0;
        sum.processor_s += processor.as_secs_f64();
        sum.resident_mib += after.usage.resident_kib as f64 / KIB;
        sum.kib_sent += after.count_since(before, "cloverfold_peer_sent_bytes") / KIB;
        sum.kib_received += after.count_since(before, "cloverfold_peer_received_bytes") / KIB;
        sum.starts += after.count_since(before, "cloverfold_task_starts_total");
    }
    sum
}

/// Prints the mean of a role's processes; starts are those that the role's work is in proportion to.
fn print_row(
    system: &ProcessSystem,
    load: &Load,
    role: Role,
    sum: &RoleSum,
    all_starts: f64,
    ratios: &str,
) {
    let length = LENGTH.as_secs_f64();
    let starts = match role {
        Role::Lead => all_starts,
        Role::Guard => sum.starts / sum.processes,
        Role::Entry => all_starts / sum.processes,
    };
    let processor_s = sum.processor_s / sum.processes;
    let per_start = if starts > 0.0 {
        format!("{:.0}", processor_s * 1e6 / starts)
    } else {
        "-".into()
    };
    println!(
        "{:<7} {:<21} {:<6} {:>8.1}  {:>5.2}   {:>12}  {:>5.1}  {:>9.1}  {:>8.1}  {ratios}",
        system.guards(),
        load.name,
        format!("{role:?}"),
        starts / length,
        processor_s / length * 100.0,
        per_start,
        sum.resident_mib / sum.processes,
        sum.kib_sent / sum.processes / length,
        sum.kib_received / sum.processes / length,
    );
}
