//! What a caller asks for.

use std::time::Duration;

use crate::resources::Resources;

/// The tasks of one step of a job, all alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRequest {
    /// How many tasks.
    pub count: u32,
    /// What each uses.
    pub demand: Resources,
    /// The caller's rough guess of a task's duration.
    pub estimate: Duration,
    /// Earlier steps, by number, whose tasks must all have ended.
    pub depends_on: Vec<usize>,
    /// A label that the target must have.
    pub required_label: Option<String>,
    /// A label whose targets are preferred.
    pub preferred_label: Option<String>,
    /// How many tasks of the step one target may hold.
    pub most_per_target: Option<u32>,
}

/// When an answer is worth its whole credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Factor on the duration of the work.
    pub stretch: f64,
    /// Time allowed on top.
    pub allowance: Duration,
}

impl Objective {
    /// Returns the time in which work of this duration should be answered.
    pub fn span(&self, work: Duration) -> Duration {
        work.mul_f64(self.stretch.clamp(1.0, 100.0)) + self.allowance
    }
}

/// A repeatable job: all of it may run again if its answer is lost.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRequest {
    /// The caller's name for the job.
    pub id: String,
    /// The queue that it came through.
    pub queue: String,
    /// The service whose targets run it.
    pub service: String,
    /// What targets are told to do.
    pub spec: String,
    /// The steps; their dependencies point to earlier ones.
    pub steps: Vec<StepRequest>,
    /// 0 comes first.
    pub priority: u32,
    /// Ends `failed` after which a task is not tried again.
    pub max_attempts: u32,
    /// When the answer is worth most.
    pub objective: Objective,
    /// How long the caller waits, where it says so.
    pub patience: Option<Duration>,
}

impl JobRequest {
    /// Returns the estimated duration of the longest chain of steps.
    pub fn estimate_work(&self) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.depends_on.iter().filter_map(|&index| ends.get(index));
            let begin = before.max().copied().unwrap_or_default();
            ends.push(begin + step.estimate);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
