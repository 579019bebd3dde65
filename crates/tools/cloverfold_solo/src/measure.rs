//! Measures a solo system under load.

use std::time::Duration;

use cloverfold_load::{
    CallerClient, LoadPlan, LoadReport, UniformLoad, WasteReport, read_metrics, run_load,
};

use crate::error::SoloError;
use crate::installation::SERVICE;
use crate::system::SoloSystem;

/// Delay after the last answer, in which the metrics become complete.
const METRICS_DELAY: Duration = Duration::from_millis(300);

/// The result of a load run.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Response times and outcomes by workspace.
    pub load: LoadReport,
    /// Counts of wasted messages and of requests.
    pub waste: WasteReport,
}

/// Load on a solo system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoloLoad {
    /// Mean utilization of the system's slots, 0 to 1, at the same rate for every workspace.
    pub utilization: f64,
    /// Factor that multiplies the rate of the first workspace.
    pub overload: f64,
    /// Minimum and maximum number of tasks of a job.
    pub job_size: (usize, usize),
    /// Time during which jobs arrive.
    pub length: Duration,
    /// Random seed of the arrivals, sizes and durations.
    pub seed: u64,
}

/// Runs a load on a system and measures the system.
///
/// # Errors
///
/// Returns an error if the load could not be run or a metrics page could not be read.
pub async fn measure_load(system: &SoloSystem, load: &SoloLoad) -> Result<Measurement, SoloError> {
    let plan = build_plan(system, load);
    let client = CallerClient::new()?;
    let processes = system.metrics_addresses();
    let before = read_metrics(&client, &processes).await?;
    let starts_before = system.count_starts();
    let report = run_load(&plan).await?;
    tokio::time::sleep(METRICS_DELAY).await;
    let after = read_metrics(&client, &processes).await?;
    let starts = system.count_starts() - starts_before;
    let waste =
        WasteReport::from_metrics(&after.since(&before), starts, report.total().useful_tasks);
    Ok(Measurement {
        load: report,
        waste,
    })
}

fn build_plan(system: &SoloSystem, load: &SoloLoad) -> LoadPlan {
    let config = system.config();
    let callers = config.workspaces.iter();
    let uniform = UniformLoad {
        entries: system.entry_addresses(),
        callers: callers.map(|workspace| workspace.caller.clone()).collect(),
        service: SERVICE.into(),
        slots: config.guards * config.slots,
        utilization: load.utilization,
        job_size: load.job_size,
        length: load.length,
        seed: load.seed,
    };
    let mut plan = uniform.into_plan();
    if let Some(first) = plan.workspaces.first_mut() {
        first.jobs_per_s *= load.overload;
    }
    plan
}
