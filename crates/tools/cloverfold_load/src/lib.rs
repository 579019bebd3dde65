//! Open-loop load generator for a claims installation, and its report.
//!
//! Arrivals follow a schedule that does not wait for answers, which avoids coordinated omission: a slow system gets no fewer requests.
//! The report divides each response time by the ideal, which is the duration of the job's longest task. The load generator uses only the
//! public HTTP interface and the metrics pages.

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
