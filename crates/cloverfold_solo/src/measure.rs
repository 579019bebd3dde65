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

/// Load on a solo system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoloLoad {
    /// Share of the system's capacity, spread evenly over its customers.
    pub share: f64,
    /// How many times its part the first customer submits.
    pub overload: f64,
    /// Least and most tasks of a job.
    pub job_size: (usize, usize),
    /// How long jobs arrive.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Puts a load on and gathers what it showed.
///
/// # Errors
///
/// Says that a metrics page could not be read.
pub async fn measure_load(system: &SoloSystem, load: &SoloLoad) -> Result<Measurement, SoloError> {
    let plan = build_plan(system, load);
    let client = CallerClient::new()?;
    let processes = system.metrics_addresses();
    let before = read_metrics(&client, &processes).await?;
    let starts_before = system.count_starts();
    let report = run_load(&plan).await?;
    tokio::time::sleep(SETTLE).await;
    let after = read_metrics(&client, &processes).await?;
    let starts = system.count_starts() - starts_before;
    let waste = WasteReport::gather(&after.since(&before), starts, report.total().useful_tasks);
    Ok(Measurement {
        load: report,
        waste,
    })
}

fn build_plan(system: &SoloSystem, load: &SoloLoad) -> LoadPlan {
    let config = system.config();
    let mut plan = LoadPlan {
        entries: system.entry_addresses(),
        service: SERVICE.into(),
        customers: Vec::new(),
        task_duration: (SHORTEST_TASK, LONGEST_TASK),
        network_delay: Duration::ZERO,
        length: load.length,
        warm_up: WARM_UP,
        seed: load.seed,
    };
    let slots = (config.guards * config.slots) as f64;
    let tasks_per_s = load.share * slots / plan.mean_duration().as_secs_f64();
    let mean_size = (load.job_size.0 + load.job_size.1) as f64 / 2.0;
    let jobs_per_s = tasks_per_s / mean_size / config.customers.len() as f64;
    let customers = config.customers.iter().enumerate();
    let customers = customers.map(|(index, customer)| LoadCustomer {
        caller: customer.caller.clone(),
        jobs_per_s: if index == 0 {
            jobs_per_s * load.overload
        } else {
            jobs_per_s
        },
        job_size: load.job_size,
    });
    plan.customers = customers.collect();
    plan
}
