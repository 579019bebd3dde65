//! Measurement of a solo system under load.
//!
//! Owns no state. Relies on `cloverfold_load` for the load and the report.

use std::time::Duration;

use cloverfold_load::{
    CallerClient, LoadPlan, LoadReport, UniformLoad, WasteReport, read_metrics, run_load,
};

use crate::error::SoloError;
use crate::installation::SERVICE;
use crate::system::SoloSystem;

/// Wait after the last answer until all counts are in the metrics. Chosen, not measured.
const SETTLE: Duration = Duration::from_millis(300);

/// The result of a load.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Answers by workspace.
    pub load: LoadReport,
    /// Messages by kind.
    pub waste: WasteReport,
}

/// Load on a solo system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SoloLoad {
    /// Share of the system's slots, 0 to 1, spread evenly over its workspaces.
    pub share: f64,
    /// Factor on the rate of the first workspace.
    pub overload: f64,
    /// Least and most tasks of a job.
    pub job_size: (usize, usize),
    /// How long jobs arrive.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Runs a load on a system and measures it.
///
/// # Errors
///
/// Returns that the load could not be run or that a metrics page could not be read.
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
    let callers = config.workspaces.iter();
    let uniform = UniformLoad {
        entries: system.entry_addresses(),
        callers: callers.map(|workspace| workspace.caller.clone()).collect(),
        service: SERVICE.into(),
        slots: config.guards * config.slots,
        share: load.share,
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
