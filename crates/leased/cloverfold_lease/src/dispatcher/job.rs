//! One job and its tasks: how far each has come.
//!
//! Decision: how long a run of a kept task is expected to take. Rule: the caller's estimate, doubled with each run of it that was ended as
//! too slow or stuck, up to [`MAX_DOUBLINGS`] times. Inputs: the estimate, those runs. Reason: the estimate is a rough guess, and what was
//! accepted is not given up: ended again and again after the same time, a task that takes longer would never be done. Found by a test with
//! an estimate of 50 ms for 700 ms of work.
//!
//! Owns [`Job`], [`Task`] and the positions by which the other modules refer to them. Relies on nothing: what
//! follows from a phase is decided elsewhere.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::Epoch;

use crate::dispatcher::deadlines::JobDeadlines;
use crate::messages::{SessionId, TaskId};
use crate::request::{JobRequest, StepRequest};

/// The estimate that is doubled if the caller gave none or a shorter one.
const MIN_DOUBLED_ESTIMATE: Duration = Duration::from_millis(50);
/// After so many doublings the estimate is over half an hour at least and grows no more.
const MAX_DOUBLINGS: u32 = 16;

/// Number of one submission within this process, from 1.
pub type JobNumber = u64;

/// Which task of which job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskPosition {
    pub(crate) job: JobNumber,
    /// Index among the job's tasks.
    pub(crate) index: usize,
}

/// Place of a job in the queue; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// 0 comes first.
    pub(crate) priority: u32,
    /// Earlier submissions come first.
    pub(crate) job: JobNumber,
}

/// How far a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// An earlier step isn't over.
    Blocked,
    /// It waits for a target.
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
    /// Its job is kept, its run is over, and how it ended is not known here: it may be recorded as done.
    Unrecorded,
    /// It is done.
    Done,
}

impl TaskPhase {
    /// Returns whether a session has the task.
    pub(crate) fn is_assigned_to(&self, to: SessionId) -> bool {
        matches!(self, Self::Assigned { session, .. } if *session == to)
    }
}

/// A task and its history.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    /// Index of its step.
    pub(crate) step: usize,
    pub(crate) phase: TaskPhase,
    /// Number of its next run.
    pub(crate) next_run: u64,
    /// Runs that ended `failed`.
    pub(crate) failures: u32,
    /// The session whose target it did not do well on.
    pub(crate) avoided_session: Option<SessionId>,
    /// How often a run of it was ended as too slow or stuck; counted only where the job is kept.
    pub(crate) late_runs: u32,
}

impl Task {
    /// Begins the next run and returns its number.
    pub(crate) fn begin_run(&mut self, session: SessionId, now: Timestamp) -> u64 {
        let run = self.next_run;
        self.next_run += 1;
        self.phase = TaskPhase::Assigned {
            session,
            run,
            since: now,
            is_withdrawn: false,
        };
        run
    }
}

/// A job that waits for its answer.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: JobRequest,
    pub(crate) tasks: Vec<Task>,
    pub(crate) submitted_at: Timestamp,
    pub(crate) deadlines: JobDeadlines,
    /// Whether its objective was over when it came.
    pub(crate) is_late_resubmission: bool,
    /// Whether a run ended in another way than by not being started, or its end was never reported.
    pub(crate) has_run: bool,
    /// The epoch in which this entry drives it; `None` for a job that need not be kept.
    pub(crate) epoch: Option<Epoch>,
}

impl Job {
    /// Returns a job of which nothing is assigned; its tasks begin with the run number `first_run`.
    pub(crate) fn new(
        request: JobRequest,
        is_late_resubmission: bool,
        first_run: u64,
        now: Timestamp,
    ) -> Self {
        let deadlines = JobDeadlines::new(&request, now);
        let tasks = build_tasks(&request, first_run);
        Self {
            request,
            tasks,
            submitted_at: now,
            deadlines,
            is_late_resubmission,
            has_run: false,
            epoch: None,
        }
    }

    /// Returns whether the job is kept: it ends only by its runs or by the end of its driver.
    pub(crate) fn is_kept(&self) -> bool {
        self.epoch.is_some()
    }

    /// Returns the place in the queue of the job with this number.
    pub(crate) fn queue_position(&self, number: JobNumber) -> QueuePosition {
        QueuePosition {
            priority: self.request.priority,
            job: number,
        }
    }

    /// Returns whether its grace is over (`deadlines`); a job that is kept has none.
    pub(crate) fn is_past_grace(&self, now: Timestamp) -> bool {
        !self.is_kept() && now >= self.deadlines.grace_end
    }

    /// Returns the step of one of its tasks.
    pub(crate) fn step(&self, task: &Task) -> &StepRequest {
        &self.request.steps[task.step]
    }

    /// Returns how long a run of one of its tasks should take: the caller's estimate, doubled with each run that was ended as too slow or
    /// stuck.
    pub(crate) fn estimate(&self, task: &Task) -> Duration {
        let estimate = self.step(task).estimate;
        if task.late_runs == 0 {
            return estimate;
        }
        estimate.max(MIN_DOUBLED_ESTIMATE) * (1 << task.late_runs.min(MAX_DOUBLINGS))
    }

    /// Counts a run of a task that was ended as too slow or stuck, if the job is kept.
    pub(crate) fn record_late_run(&mut self, index: usize) {
        if self.is_kept() {
            self.tasks[index].late_runs += 1;
        }
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|task| task.phase == TaskPhase::Done)
    }

    /// Returns whether a task runs, has run, or may yet do either by an order that was given.
    pub(crate) fn may_have_run(&self) -> bool {
        let may_run = |task: &Task| !matches!(task.phase, TaskPhase::Waiting | TaskPhase::Blocked);
        self.has_run || self.tasks.iter().any(may_run)
    }

    /// Returns whether a task waits for a target.
    pub(crate) fn has_waiting(&self) -> bool {
        self.tasks
            .iter()
            .any(|task| task.phase == TaskPhase::Waiting)
    }

    /// Counts the tasks that are not done.
    pub(crate) fn count_open(&self) -> usize {
        let tasks = self.tasks.iter();
        tasks.filter(|task| task.phase != TaskPhase::Done).count()
    }

    /// Counts the tasks of a step that a session has.
    pub(crate) fn count_assigned(&self, step: usize, session: SessionId) -> u32 {
        let is_there = |task: &&Task| task.step == step && task.phase.is_assigned_to(session);
        self.tasks.iter().filter(is_there).count() as u32
    }

    /// Returns the index of a task.
    pub(crate) fn find_task(&self, id: &TaskId) -> Option<usize> {
        self.tasks.iter().position(|task| task.id == *id)
    }

    /// Moves the tasks of each step whose earlier steps are all done from `Blocked` to `Waiting`.
    pub(crate) fn unblock_steps(&mut self) {
        for index in 0..self.tasks.len() {
            let task = &self.tasks[index];
            if task.phase != TaskPhase::Blocked {
                continue;
            }
            let mut dependencies = self.step(task).depends_on.iter();
            if dependencies.all(|&step| self.is_step_done(step)) {
                self.tasks[index].phase = TaskPhase::Waiting;
            }
        }
    }

    fn is_step_done(&self, step: usize) -> bool {
        let mut of_step = self.tasks.iter().filter(|task| task.step == step);
        of_step.all(|task| task.phase == TaskPhase::Done)
    }
}

/// Makes the tasks of all steps, in order; those of steps without dependencies wait at once.
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
                avoided_session: None,
                late_runs: 0,
            });
        }
    }
    tasks
}
