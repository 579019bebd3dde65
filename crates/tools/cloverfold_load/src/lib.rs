//! Open-loop load and its report.
//!
//! Arrivals follow a schedule that does not wait for answers, so that a slow system cannot hide its slowness.
//! Each answer's time is set against the ideal: the longest of the job's tasks.

mod client;
mod metrics_reader;
mod plan;
mod report;
mod run;

pub use client::{CallerClient, CallerKey, JobAnswer, JobRequest, LoadError};
pub use metrics_reader::{MetricsTotals, read_metrics};
pub use plan::{EvenLoad, LoadPlan, LoadWorkspace};
pub use report::{LoadReport, WasteReport, WorkspaceReport};
pub use run::run_load;
