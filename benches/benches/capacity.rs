//! Measures processor time, memory and network traffic of the processes of a claims installation, for several numbers of guards.
//!
//! Needs release binaries, which must have been built before.

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_benches::{ProcessSystem, Role, Usage, read_usage};
use cloverfold_load::{LoadPlan, MetricsTotals, UniformLoad, read_metrics, run_load};
use cloverfold_solo::SERVICE;
use eyre::Result;
use tokio::time::sleep;

const ENTRIES: usize = 3;
const RUN_LENGTH: Duration = Duration::from_secs(8);
const GUARD_COUNTS: [usize; 4] = [5, 11, 22, 44];
/// Longer than the 500 ms at which `cloverfold_app` updates the gauges of sent and received bytes.
const GAUGES_DELAY: Duration = Duration::from_millis(600);

struct Load {
    name: &'static str,
    /// Mean utilization of the slots, 0 to 1.
    utilization: f64,
    job_size: (usize, usize),
}

const LOADS: [Load; 3] = [
    Load {
        name: "idle",
        utilization: 0.0,
        job_size: (1, 1),
    },
    Load {
        name: "70 %, jobs of 1-4",
        utilization: 0.7,
        job_size: (1, 4),
    },
    Load {
        name: "70 %, jobs of 20-60",
        utilization: 0.7,
        job_size: (20, 60),
    },
];

/// Usage and metrics of one process at a point in time.
struct Snapshot {
    usage: Usage,
    metrics: MetricsTotals,
}

/// Usage of all processes of one role during a run.
#[derive(Default)]
struct RoleUsage {
    processes: f64,
    processor_s: f64,
    resident_mib: f64,
    kib_sent: f64,
    kib_received: f64,
    starts: f64,
}

#[tokio::main]
async fn main() -> Result<()> {
    // The test runner passes `--list` to list benches without running them.
    if std::env::args().any(|arg| arg == "--list") {
        return Ok(());
    }
    println!(
        "guards  load                  role   starts/s  cpu %   cpu us/start  MiB    KiB/s out  KiB/s in  p50    p99"
    );
    for guards in GUARD_COUNTS {
        let system = ProcessSystem::start(guards, ENTRIES).await?;
        for load in &LOADS {
            measure(&system, load).await?;
        }
    }
    Ok(())
}

async fn measure(system: &ProcessSystem, load: &Load) -> Result<()> {
    let before = take_snapshots(system).await?;
    let ratios = generate_load(system, load).await?;
    let after = take_snapshots(system).await?;
    let starts: f64 = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after.count_since(before, "cloverfold_task_starts_total"))
        .sum();
    for role in [Role::Lead, Role::Guard, Role::Entry] {
        let sum = sum_role_usage(system, role, &before, &after);
        print_row(system, load, role, &sum, starts, &ratios);
    }
    Ok(())
}

async fn generate_load(system: &ProcessSystem, load: &Load) -> Result<String> {
    if load.utilization == 0.0 {
        sleep(RUN_LENGTH).await;
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
        utilization: load.utilization,
        job_size: load.job_size,
        length: RUN_LENGTH,
        seed: 1,
    };
    uniform.into_plan()
}

async fn take_snapshots(system: &ProcessSystem) -> Result<Vec<Snapshot>> {
    sleep(GAUGES_DELAY).await;
    let mut snapshots = Vec::new();
    for (_, pid, http) in system.list_processes() {
        let addresses: [SocketAddr; 1] = [http];
        snapshots.push(Snapshot {
            usage: read_usage(pid)?,
            metrics: read_metrics(system.client(), &addresses).await?,
        });
    }
    Ok(snapshots)
}

impl Snapshot {
    fn count_since(&self, before: &Self, series: &str) -> f64 {
        self.metrics.sum_of(series) - before.metrics.sum_of(series)
    }
}

fn sum_role_usage(
    system: &ProcessSystem,
    role: Role,
    before: &[Snapshot],
    after: &[Snapshot],
) -> RoleUsage {
    const KIB: f64 = 1024.0;
    let mut sum = RoleUsage::default();
    for (index, (process_role, _, _)) in system.list_processes().into_iter().enumerate() {
        if process_role != role {
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

/// Prints the mean of a role's processes.
///
/// The starts are those that cause the role's work: all starts for the lead, a guard's own starts, and an entry's share of all starts.
fn print_row(
    system: &ProcessSystem,
    load: &Load,
    role: Role,
    sum: &RoleUsage,
    all_starts: f64,
    ratios: &str,
) {
    let run_s = RUN_LENGTH.as_secs_f64();
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
        starts / run_s,
        processor_s / run_s * 100.0,
        per_start,
        sum.resident_mib / sum.processes,
        sum.kib_sent / sum.processes / run_s,
        sum.kib_received / sum.processes / run_s,
    );
}
