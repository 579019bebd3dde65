//! Plans of load: who submits how much for how long.
//!
//! Owns no state. Relies on `run` to carry a plan out.

use std::net::SocketAddr;
use std::time::Duration;

use crate::client::CallerKey;

/// Shortest task of an even load. Chosen, not measured.
const SHORTEST_TASK: Duration = Duration::from_millis(50);
/// Longest task of an even load. Chosen, not measured.
const LONGEST_TASK: Duration = Duration::from_millis(500);
/// Time from the start that an even load leaves out of the report. Chosen, not measured.
const WARM_UP: Duration = Duration::from_secs(1);

/// One workspace's part of the load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadWorkspace {
    /// Who submits.
    pub caller: CallerKey,
    /// Mean jobs per second; the gaps are exponential.
    pub jobs_per_s: f64,
    /// Least and most tasks of a job; all sizes are equally likely.
    pub job_size: (usize, usize),
}

/// A run of load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Service to run at.
    pub service: String,
    /// The workspaces.
    pub workspaces: Vec<LoadWorkspace>,
    /// Shortest and longest duration of a task; all whole milliseconds are equally likely.
    pub task_duration: (Duration, Duration),
    /// How long jobs arrive.
    pub length: Duration,
    /// Jobs that arrive within this time from the start are left out of the report.
    pub warm_up: Duration,
    /// Seed of the arrivals, sizes and durations.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns the mean duration of a task.
    pub fn mean_task_duration(&self) -> Duration {
        (self.task_duration.0 + self.task_duration.1) / 2
    }
}

/// Load on a system as a share of its slots, spread evenly over workspaces, of tasks of 50 to 500 ms.
#[derive(Clone, Debug, PartialEq)]
pub struct UniformLoad {
    /// Entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// The workspaces that submit.
    pub callers: Vec<CallerKey>,
    /// Service to run at.
    pub service: String,
    /// Slots of the system.
    pub slots: usize,
    /// Mean share of the slots that the load occupies, 0 to 1.
    pub share: f64,
    /// Least and most tasks of a job.
    pub job_size: (usize, usize),
    /// How long jobs arrive.
    pub length: Duration,
    /// Seed of the arrivals, sizes and durations.
    pub seed: u64,
}

impl UniformLoad {
    /// Makes a plan in which every workspace submits at the same rate.
    pub fn into_plan(self) -> LoadPlan {
        let mut plan = LoadPlan {
            entries: self.entries,
            service: self.service,
            workspaces: Vec::new(),
            task_duration: (SHORTEST_TASK, LONGEST_TASK),
            length: self.length,
            warm_up: WARM_UP,
            seed: self.seed,
        };
        let tasks_per_s = self.share * self.slots as f64 / plan.mean_task_duration().as_secs_f64();
        let mean_size = (self.job_size.0 + self.job_size.1) as f64 / 2.0;
        let jobs_per_s = tasks_per_s / mean_size / self.callers.len() as f64;
        let workspaces = self.callers.into_iter().map(|caller| LoadWorkspace {
            caller,
            jobs_per_s,
            job_size: self.job_size,
        });
        plan.workspaces = workspaces.collect();
        plan
    }
}
