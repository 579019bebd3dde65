//! Open-loop load on a claims installation, and its report.
//!
//! Arrivals follow a schedule that does not wait for answers, so that a slow system cannot hide its slowness.
//! Each response time is divided by the ideal: the duration of the job's longest task. `cloverfold solo`, the
//! benches and the system tests use it; a leased installation is measured by the platform's own bench. Owns the
//! connections to entries; relies on the public interface (`docs/API.md`) and on the metrics pages only.

mod client;
mod metrics_reader;
mod plan;
mod report;
mod run;

pub use client::{CallerClient, CallerKey, JobAnswer, JobRequest, LoadError};
pub use metrics_reader::{MetricsTotals, read_metrics};
pub use plan::{LoadPlan, LoadWorkspace, UniformLoad};
pub use report::{LoadReport, WasteReport, WorkspaceReport};
pub use run::run_load;
