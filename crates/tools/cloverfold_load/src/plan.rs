//! Load plans: callers, rates, sizes and durations.

use std::net::SocketAddr;
use std::time::Duration;

use crate::client::CallerKey;

/// Shortest task of a uniform load.
const MIN_TASK_DURATION: Duration = Duration::from_millis(50);
/// Longest task of a uniform load.
const MAX_TASK_DURATION: Duration = Duration::from_millis(500);
/// Time from the start that the report of a uniform load excludes.
const WARM_UP: Duration = Duration::from_secs(1);

/// The load of one workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadWorkspace {
    /// The caller that submits the jobs.
    pub caller: CallerKey,
    /// Mean jobs per second of a Poisson process.
    pub jobs_per_s: f64,
    /// Minimum and maximum number of tasks of a job; all sizes are equally likely.
    pub job_size: (usize, usize),
}

/// A complete load plan.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Entries, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// Service that runs the tasks.
    pub service: String,
    /// The workspaces.
    pub workspaces: Vec<LoadWorkspace>,
    /// Minimum and maximum duration of a task; all whole milliseconds are equally likely.
    pub task_duration: (Duration, Duration),
    /// Time during which jobs arrive.
    pub length: Duration,
    /// Time from the start during which arriving jobs are excluded from the report.
    pub warm_up: Duration,
    /// Random seed of the arrivals, sizes and durations.
    pub seed: u64,
}

impl LoadPlan {
    /// Returns the mean duration of a task.
    pub fn mean_task_duration(&self) -> Duration {
        (self.task_duration.0 + self.task_duration.1) / 2
    }
}

/// A load at the same rate for every workspace, sized by the mean utilization of the system's slots. Tasks take 50 to 500 ms.
#[derive(Clone, Debug, PartialEq)]
pub struct UniformLoad {
    /// Entries, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// The workspaces that submit.
    pub callers: Vec<CallerKey>,
    /// Service that runs the tasks.
    pub service: String,
    /// Slots of the system.
    pub slots: usize,
    /// Mean utilization of the slots, 0 to 1.
    pub utilization: f64,
    /// Minimum and maximum number of tasks of a job.
    pub job_size: (usize, usize),
    /// Time during which jobs arrive.
    pub length: Duration,
    /// Random seed of the arrivals, sizes and durations.
    pub seed: u64,
}

impl UniformLoad {
    /// Returns a plan in which every workspace submits at the same rate.
    pub fn into_plan(self) -> LoadPlan {
        let mut plan = LoadPlan {
            entries: self.entries,
            service: self.service,
            workspaces: Vec::new(),
            task_duration: (MIN_TASK_DURATION, MAX_TASK_DURATION),
            length: self.length,
            warm_up: WARM_UP,
            seed: self.seed,
        };
        let tasks_per_s =
            self.utilization * self.slots as f64 / plan.mean_task_duration().as_secs_f64();
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
