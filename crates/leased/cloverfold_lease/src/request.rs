//! Job requests: a job consists of steps, and a step of identical tasks.
//!
//! The process that creates a request checks that dependencies point to earlier steps.

use std::time::Duration;

use crate::resources::Resources;

/// Prevents a latency objective below the duration of the work.
const MIN_STRETCH: f64 = 1.0;
/// Prevents a wrong configuration from keeping jobs open for hours.
const MAX_STRETCH: f64 = 100.0;

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRequest {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task uses.
    pub demand: Resources,
    /// The caller's estimate of a task's duration; zero if it provides none.
    pub estimate: Duration,
    /// Indices of earlier steps whose tasks must all be done before this step starts.
    pub depends_on: Vec<usize>,
    /// Label that the target must have.
    pub required_label: Option<String>,
    /// Label of preferred targets.
    pub preferred_label: Option<String>,
    /// Maximum number of tasks of the step that are assigned to one target at the same time.
    pub max_per_target: Option<u32>,
}

/// Latency objective of a job, as a function of the duration of its work.
///
/// An answer within this latency has its full value for the caller; a later one is worth less.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyObjective {
    /// Factor on the duration of the work, clamped to the range from 1 to 100.
    pub stretch: f64,
    /// Constant that is added to the stretched duration.
    pub allowance: Duration,
}

impl LatencyObjective {
    /// Returns the time from submission within which work of this duration should be answered.
    pub fn for_work(&self, work: Duration) -> Duration {
        let stretch = self.stretch.clamp(MIN_STRETCH, MAX_STRETCH);
        work.mul_f64(stretch) + self.allowance
    }
}

/// A request to run a job. Its tasks are repeatable: they may run again if an end or the answer is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// Name of the job, chosen by the caller.
    pub id: String,
    /// Name of the queue to which it was submitted.
    pub queue: String,
    /// Service whose targets execute it.
    pub service: String,
    /// Work description for the target; opaque to this crate.
    pub spec: String,
    /// Steps; each depends on earlier ones only.
    pub steps: Vec<StepRequest>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs after which a task is not retried.
    pub max_attempts: u32,
    /// Latency objective.
    pub objective: LatencyObjective,
    /// How long the caller waits for the answer, if it specifies a timeout.
    pub caller_timeout: Option<Duration>,
}

impl JobRequest {
    /// Returns the estimated duration of the critical path, the longest chain of dependent steps.
    pub fn critical_path(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies = step.depends_on.iter().filter_map(|&index| ends.get(index));
            let start = dependencies.max().copied().unwrap_or_default();
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the latency objective for the estimated duration of the critical path.
    pub fn latency_objective(&self) -> Duration {
        self.objective.for_work(self.critical_path())
    }
}
