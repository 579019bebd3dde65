//! One job and its tasks.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{SessionId, TaskId};
use crate::request::{JobRequest, StepRequest};

/// Share of the objective for which a job may wait for its first task to be offered to a target. With more, jobs wait in a
/// long queue whenever there is too much work, and then end late instead of being refused at once.
const HOLD_SHARE: f64 = 0.10;
/// Share of the time that a caller waits after which it gets its answer: a later one would find it gone.
const ANSWERED_SHARE: f64 = 0.9;
/// How many times the objective, reckoned for twice the estimate, a job is worked on.
const GIVE_UP_FACTOR: f64 = 3.0;
/// Estimates are rough: work may take this much longer than said without being late.
const ESTIMATE_MARGIN: f64 = 2.0;
/// A run is overdue after this many times its estimate, in the measure that is usual.
const OVERDUE_FACTOR: f64 = 2.6;
const OVERDUE_ALLOWANCE: Duration = Duration::from_millis(120);

/// Slowness of a target, against all others, from which its runs may be begun anew elsewhere.
const STRAGGLER_SLOWNESS: f64 = 2.5;
/// What is left of a run must be longer than a whole run elsewhere by this factor, and by what the stop and the new start take.
const STRAGGLER_GAIN: f64 = 1.4;
const RESTART_COST: Duration = Duration::from_millis(60);

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// An earlier step isn't over.
    Blocked,
    /// It wants a target.
    Waiting,
    /// A runner has it.
    Assigned {
        session: SessionId,
        run: u64,
        since: Timestamp,
        is_withdrawn: bool,
    },
    /// The session that had it was lost; it may still run.
    Uncertain,
    /// It is done.
    Done,
}

/// A task and its history.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    pub(crate) step: usize,
    pub(crate) phase: TaskPhase,
    pub(crate) next_run: u64,
    pub(crate) failures: u32,
    /// The session whose target it did not do well on.
    pub(crate) avoided: Option<SessionId>,
}

/// A job that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: JobRequest,
    pub(crate) tasks: Vec<Task>,
    pub(crate) submitted_at: Timestamp,
    /// Unless a task is offered by then, the job is refused.
    pub(crate) hold_until: Timestamp,
    /// The job is given up then.
    pub(crate) give_up_at: Timestamp,
    /// Whether a run ended in another way than by not being started, or its end was never told.
    pub(crate) has_run: bool,
}

impl Job {
    pub(crate) fn new(request: JobRequest, first_run: u64, now: Timestamp) -> Self {
        let work = request.estimate_work();
        let hold = request.objective.span(work).mul_f64(HOLD_SHARE);
        let longest = request.objective.span(work.mul_f64(ESTIMATE_MARGIN));
        let mut patience = longest.mul_f64(GIVE_UP_FACTOR);
        if let Some(limit) = request.patience {
            patience = patience.min(limit.mul_f64(ANSWERED_SHARE));
        }
        let tasks = build_tasks(&request, first_run);
        Self {
            request,
            tasks,
            submitted_at: now,
            hold_until: now + hold,
            give_up_at: now + patience,
            has_run: false,
        }
    }

    pub(crate) fn step(&self, task: &Task) -> &StepRequest {
        &self.request.steps[task.step]
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Says whether a task runs, has run, or may yet do either by an order that was given.
    pub(crate) fn may_have_run(&self) -> bool {
        let is_out = |task: &Task| !matches!(task.phase, TaskPhase::Waiting | TaskPhase::Blocked);
        self.has_run || self.tasks.iter().any(is_out)
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting)
    }

    pub(crate) fn find_task(&self, id: &TaskId) -> Option<usize> {
        self.tasks.iter().position(|task| task.id == *id)
    }

    /// Lets the steps wait whose earlier steps are all done.
    pub(crate) fn unblock_steps(&mut self) {
        let is_step_done = |tasks: &[Task], step: usize| {
            let mut of_step = tasks.iter().filter(|task| task.step == step);
            of_step.all(|task| task.phase == TaskPhase::Done)
        };
        for index in 0..self.tasks.len() {
            if self.tasks[index].phase != TaskPhase::Blocked {
                continue;
            }
            let step = &self.request.steps[self.tasks[index].step];
            let mut before = step.depends_on.iter();
            if before.all(|&step| is_step_done(&self.tasks, step)) {
                self.tasks[index].phase = TaskPhase::Waiting;
            }
        }
    }

    /// Returns how long a run of a step may take before it is taken for hung.
    pub(crate) fn overdue_after(&self, step: usize, usual_ratio: f64) -> Duration {
        self.usual_span(step, usual_ratio).mul_f64(OVERDUE_FACTOR) + OVERDUE_ALLOWANCE
    }

    /// Says whether a run that has taken `age` at a target of this slowness is over sooner if it begins anew elsewhere.
    pub(crate) fn gains_elsewhere(
        &self,
        step: usize,
        usual_ratio: f64,
        slowness: f64,
        age: Duration,
    ) -> bool {
        let usual = self.usual_span(step, usual_ratio);
        let left = usual.mul_f64(slowness).saturating_sub(age);
        slowness >= STRAGGLER_SLOWNESS && left > usual.mul_f64(STRAGGLER_GAIN) + RESTART_COST
    }

    fn usual_span(&self, step: usize, usual_ratio: f64) -> Duration {
        self.request.steps[step]
            .estimate
            .mul_f64(usual_ratio.clamp(0.5, 4.0))
    }
}

fn build_tasks(request: &JobRequest, first_run: u64) -> Vec<Task> {
    let mut tasks = Vec::new();
    for (step_number, step) in request.steps.iter().enumerate() {
        let phase = if step.depends_on.is_empty() {
            TaskPhase::Waiting
        } else {
            TaskPhase::Blocked
        };
        for index in 0..step.count {
            tasks.push(Task {
                id: TaskId {
                    job: request.id.clone(),
                    repetition: 0,
                    step: step_number as u32,
                    index,
                },
                step: step_number,
                phase,
                next_run: first_run,
                failures: 0,
                avoided: None,
            });
        }
    }
    tasks
}
