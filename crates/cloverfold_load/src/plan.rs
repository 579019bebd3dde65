//! What load is put on.

use std::net::SocketAddr;
use std::time::Duration;

use crate::client::CallerKey;

/// One customer's part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCustomer {
    /// Who submits.
    pub caller: CallerKey,
    /// Jobs per second, with exponential gaps.
    pub jobs_per_s: f64,
    /// Least and most tasks of a job, all sizes alike.
    pub job_size: (usize, usize),
}

/// A run of load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Service to run at.
    pub service: String,
    /// The customers.
    pub customers: Vec<LoadCustomer>,
    /// Least and longest duration of a task, all durations alike.
    pub task_duration: (Duration, Duration),
    /// Network delay that the ideal includes.
    pub network_delay: Duration,
    /// How long jobs arrive.
    pub length: Duration,
    /// Arrivals in this time at the beginning are not reported.
    pub warm_up: Duration,
    /// Seed of the arrivals, sizes and durations.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns the mean duration of a task.
    pub fn mean_duration(&self) -> Duration {
        (self.task_duration.0 + self.task_duration.1) / 2
    }
}
