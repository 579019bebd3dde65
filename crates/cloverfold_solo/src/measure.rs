//! Measurement of a solo system under load.

use std::time::Duration;

use cloverfold_load::{
    CallerClient, LoadCustomer, LoadPlan, LoadReport, WasteReport, read_metrics, run_load,
};

use crate::error::SoloError;
use crate::installation::SERVICE;
use crate::system::SoloSystem;

const SHORTEST_TASK: Duration = Duration::from_millis(50);
const LONGEST_TASK: Duration = Duration::from_millis(500);
const WARM_UP: Duration = Duration::from_secs(1);
/// Until the targets' last ends are counted.
const SETTLE: Duration = Duration::from_millis(300);

/// What a load showed.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Answers by customer.
    pub load: LoadReport,
    /// Messages by kind.
    pub waste: WasteReport,
}

/// Puts a share of the system's capacity on as load, spread evenly over its customers.
///
/// # Errors
///
/// Says that a metrics page could not be read.
pub async fn measure_load(
    system: &SoloSystem,
    share: f64,
    job_size: (usize, usize),
    length: Duration,
    seed: u64,
) -> Result<Measurement, SoloError> {
    let plan = build_plan(system, share, job_size, length, seed);
    let client = CallerClient::new()?;
    let processes = system.metrics_addresses();
    let before = read_metrics(&client, &processes).await?;
    let starts_before = system.count_starts();
    let load = run_load(&plan).await?;
    tokio::time::sleep(SETTLE).await;
    let after = read_metrics(&client, &processes).await?;
    let starts = system.count_starts() - starts_before;
    let waste = WasteReport::gather(&after.since(&before), starts, load.total().useful_tasks);
    Ok(Measurement { load, waste })
}

fn build_plan(
    system: &SoloSystem,
    share: f64,
    job_size: (usize, usize),
    length: Duration,
    seed: u64,
) -> LoadPlan {
    let config = system.config();
    let mut plan = LoadPlan {
        entries: system.entry_addresses(),
        service: SERVICE.into(),
        customers: Vec::new(),
        task_duration: (SHORTEST_TASK, LONGEST_TASK),
        network_delay: Duration::ZERO,
        length,
        warm_up: WARM_UP,
        seed,
    };
    let slots = (config.guards * config.slots) as f64;
    let tasks_per_s = share * slots / plan.mean_duration().as_secs_f64();
    let mean_size = (job_size.0 + job_size.1) as f64 / 2.0;
    let jobs_per_s = tasks_per_s / mean_size / config.customers.len() as f64;
    let customers = config.customers.iter().map(|customer| LoadCustomer {
        caller: customer.caller.clone(),
        jobs_per_s,
        job_size,
    });
    plan.customers = customers.collect();
    plan
}
