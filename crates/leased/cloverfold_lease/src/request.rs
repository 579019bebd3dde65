//! What a caller asks for: a repeatable job of steps, each of tasks that are all alike.
//!
//! Owns no state. Relies on the process to have checked that dependencies point to earlier steps.

use std::time::Duration;

use crate::resources::Resources;

/// Lowest factor on the duration of the work: no answer can be due before the work is done.
const LOWEST_STRETCH: f64 = 1.0;
/// Highest factor on the duration of the work, so that a wrong configuration keeps no job for hours.
const HIGHEST_STRETCH: f64 = 100.0;

/// The tasks of one step of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepRequest {
    /// How many tasks.
    pub count: u32,
    /// What each uses.
    pub demand: Resources,
    /// The caller's rough estimate of a task's duration; zero if it gave none.
    pub estimate: Duration,
    /// Earlier steps, by number, whose tasks must all have ended.
    pub depends_on: Vec<usize>,
    /// A label that the target must have.
    pub required_label: Option<String>,
    /// A label whose targets are preferred.
    pub preferred_label: Option<String>,
    /// How many tasks of the step may be assigned to one target at once.
    pub most_per_target: Option<u32>,
}

/// Until when an answer is worth most to its caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Factor on the duration of the work; taken as between 1 and 100.
    pub stretch: f64,
    /// Time allowed on top.
    pub allowance: Duration,
}

impl Objective {
    /// Returns the time after its submission in which work of this duration should be answered.
    pub fn span(&self, work: Duration) -> Duration {
        let stretch = self.stretch.clamp(LOWEST_STRETCH, HIGHEST_STRETCH);
        work.mul_f64(stretch) + self.allowance
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
    /// The work description that targets execute; opaque here.
    pub spec: String,
    /// The steps; their dependencies point to earlier ones.
    pub steps: Vec<StepRequest>,
    /// 0 comes first.
    pub priority: u32,
    /// Ends `failed` after which a task is not tried again.
    pub max_attempts: u32,
    /// Until when the answer is worth most.
    pub objective: Objective,
    /// How long the caller waits for the answer, if it names a limit.
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

    /// Returns the time after its submission in which the job should be answered, reckoned from the estimated work.
    pub fn estimate_objective(&self) -> Duration {
        self.objective.span(self.estimate_work())
    }
}
