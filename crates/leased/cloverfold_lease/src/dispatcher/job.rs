//! State of a job and its tasks.
//!
//! The expected duration of a run is the caller's estimate. For a task of a kept job it doubles, up to [`MAX_DOUBLINGS`] times, with each
//! run that was withdrawn as too slow or ended as stuck. A kept job is never given up, so a task that takes longer than its estimate would
//! otherwise be withdrawn repeatedly after the same time and never complete.
//!
//! Other modules decide what follows from a phase.

use std::collections::HashMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::Epoch;

use crate::dispatcher::deadlines::JobDeadlines;
use crate::dispatcher::phase_counts::PhaseCounts;
use crate::messages::{SessionId, TaskId};
use crate::request::{JobRequest, StepRequest};

/// Minimum estimate to which doublings apply.
const MIN_DOUBLED_ESTIMATE: Duration = Duration::from_millis(50);
/// Caps the doubled estimate; with this number it is at least half an hour.
const MAX_DOUBLINGS: u32 = 16;

/// Number of a submission within this process, starting at 1.
pub type JobNumber = u64;

/// Identifies a task of an open job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TaskPosition {
    pub(crate) job: JobNumber,
    /// Index into the job's tasks.
    pub(crate) index: usize,
}

/// Position of a job in the queue; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// 0 is the most urgent.
    pub(crate) priority: u32,
    /// Earlier submissions come first.
    pub(crate) job: JobNumber,
}

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// A step that it depends on is not done.
    Blocked,
    /// It waits to be assigned to a target.
    Waiting,
    /// It is assigned to a runner.
    Assigned {
        session: SessionId,
        run: u64,
        since: Timestamp,
        is_withdrawn: bool,
    },
    /// The session that it was assigned to was lost; its run may not have ended.
    Uncertain,
    /// Its run ended with an unknown outcome, which may be recorded as done; only in kept jobs.
    Unrecorded,
    /// It is done.
    Done,
}

impl TaskPhase {
    /// Returns whether the task is assigned to this session.
    pub(crate) fn is_assigned_to(&self, to: SessionId) -> bool {
        matches!(self, Self::Assigned { session, .. } if *session == to)
    }
}

/// A task of an open job.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) id: TaskId,
    /// Index of its step.
    pub(crate) step: usize,
    phase: TaskPhase,
    pub(crate) next_run: u64,
    /// Number of failed runs.
    pub(crate) failures: u32,
    /// Session with the target on which the latest unsuccessful run was; other targets are preferred.
    pub(crate) avoided_session: Option<SessionId>,
    /// Number of runs that were withdrawn as too slow or ended as stuck; only counted for kept jobs.
    pub(crate) late_runs: u32,
}

impl Task {
    /// Returns its phase, which only [`Job`] changes.
    pub(crate) fn phase(&self) -> TaskPhase {
        self.phase
    }
}

/// A job that has not been answered yet.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: JobRequest,
    pub(crate) tasks: Vec<Task>,
    phases: PhaseCounts,
    pub(crate) submitted_at: Timestamp,
    pub(crate) deadlines: JobDeadlines,
    /// Whether its latency objective had already passed when it was submitted.
    pub(crate) is_late_resubmission: bool,
    /// Whether any run has started, or may have started because its end was never reported.
    pub(crate) has_run: bool,
    /// Whether any run is known to have started.
    pub(crate) has_begun: bool,
    /// Epoch in which this entry drives it; `None` for a repeatable job.
    pub(crate) epoch: Option<Epoch>,
    /// [`JobRequest::open_bytes`] of its request.
    pub(crate) bytes: usize,
}

impl Job {
    /// Returns a job without assigned tasks; `first_run` is the number of the first run of each task.
    pub(crate) fn new(
        request: JobRequest,
        is_late_resubmission: bool,
        first_run: u64,
        now: Timestamp,
    ) -> Self {
        let deadlines = JobDeadlines::new(&request, now);
        let bytes = request.open_bytes();
        let tasks = build_tasks(&request, first_run);
        let mut phases = PhaseCounts::new(request.steps.len());
        for task in &tasks {
            phases.add(task.step, task.phase);
        }
        Self {
            request,
            tasks,
            phases,
            submitted_at: now,
            deadlines,
            is_late_resubmission,
            has_run: false,
            has_begun: false,
            epoch: None,
            bytes,
        }
    }

    /// Returns whether the job is kept; such a job is never given up.
    pub(crate) fn is_kept(&self) -> bool {
        self.epoch.is_some()
    }

    /// Returns the queue position of this job, which has number `number`.
    pub(crate) fn queue_position(&self, number: JobNumber) -> QueuePosition {
        QueuePosition {
            priority: self.request.priority,
            job: number,
        }
    }

    /// Returns whether its grace period has ended (`deadlines`); a kept job has none.
    pub(crate) fn is_past_grace(&self, now: Timestamp) -> bool {
        !self.is_kept() && now >= self.deadlines.grace_end
    }

    /// Returns the step that a task belongs to.
    pub(crate) fn step(&self, task: &Task) -> &StepRequest {
        &self.request.steps[task.step]
    }

    /// Returns the expected duration of a run of a task: the caller's estimate, doubled for each late run.
    pub(crate) fn estimate(&self, task: &Task) -> Duration {
        let estimate = self.step(task).estimate;
        if task.late_runs == 0 {
            return estimate;
        }
        estimate.max(MIN_DOUBLED_ESTIMATE) * (1 << task.late_runs.min(MAX_DOUBLINGS))
    }

    /// Counts a late run of a task if the job is kept.
    pub(crate) fn record_late_run(&mut self, index: usize) {
        if self.is_kept() {
            self.tasks[index].late_runs += 1;
        }
    }

    /// Changes the phase of a task.
    pub(crate) fn set_phase(&mut self, index: usize, phase: TaskPhase) {
        let task = &mut self.tasks[index];
        self.phases.remove(task.step, task.phase);
        self.phases.add(task.step, phase);
        task.phase = phase;
    }

    /// Starts the next run of a task and returns its number.
    pub(crate) fn begin_run(&mut self, index: usize, session: SessionId, now: Timestamp) -> u64 {
        let task = &mut self.tasks[index];
        let run = task.next_run;
        task.next_run += 1;
        self.set_phase(
            index,
            TaskPhase::Assigned {
                session,
                run,
                since: now,
                is_withdrawn: false,
            },
        );
        run
    }

    /// Marks the run of a task as withdrawn and returns it with its session; `None` if the task has no run that is not withdrawn yet.
    pub(crate) fn mark_withdrawn(&mut self, index: usize) -> Option<(SessionId, u64)> {
        let TaskPhase::Assigned {
            session,
            run,
            is_withdrawn,
            ..
        } = &mut self.tasks[index].phase
        else {
            return None;
        };
        let was_withdrawn = std::mem::replace(is_withdrawn, true);
        (!was_withdrawn).then_some((*session, *run))
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.phases.done() == self.tasks.len()
    }

    /// Returns whether any task has run, is running, or may run because of an assignment that was sent.
    pub(crate) fn may_have_run(&self) -> bool {
        self.has_run || self.phases.idle() < self.tasks.len()
    }

    /// Returns whether any task waits to be assigned.
    pub(crate) fn has_waiting_tasks(&self) -> bool {
        self.phases.waiting_steps().next().is_some()
    }

    /// Returns the steps that have waiting tasks, in order.
    pub(crate) fn waiting_steps(&self) -> impl Iterator<Item = usize> {
        self.phases.waiting_steps()
    }

    /// Returns the number of tasks that are not done.
    pub(crate) fn count_open_tasks(&self) -> usize {
        self.tasks.len() - self.phases.done()
    }

    /// Returns the number of tasks of a step that are not done.
    pub(crate) fn count_open_in_step(&self, step: usize) -> u32 {
        self.request.steps[step].count - self.phases.done_in_step(step)
    }

    /// Returns the number of tasks of a step that wait to be assigned.
    pub(crate) fn count_waiting_in_step(&self, step: usize) -> u32 {
        self.phases.waiting_in_step(step)
    }

    /// Returns the number of tasks of a step that are assigned to each session.
    pub(crate) fn count_assigned(&self, step: usize) -> HashMap<SessionId, u32> {
        let mut assigned = HashMap::new();
        for task in self.tasks.iter().filter(|task| task.step == step) {
            if let TaskPhase::Assigned { session, .. } = task.phase {
                *assigned.entry(session).or_default() += 1;
            }
        }
        assigned
    }

    /// Returns the index of the task with this ID.
    pub(crate) fn find_task(&self, id: &TaskId) -> Option<usize> {
        self.tasks.iter().position(|task| task.id == *id)
    }

    /// Moves blocked tasks to `Waiting` if all steps that they depend on are done.
    pub(crate) fn unblock_steps(&mut self) {
        for index in 0..self.tasks.len() {
            let task = &self.tasks[index];
            if task.phase != TaskPhase::Blocked {
                continue;
            }
            let mut dependencies = self.step(task).depends_on.iter();
            if dependencies.all(|&step| self.is_step_done(step)) {
                self.set_phase(index, TaskPhase::Waiting);
            }
        }
    }

    fn is_step_done(&self, step: usize) -> bool {
        self.phases.done_in_step(step) == self.request.steps[step].count
    }
}

/// Builds the tasks of all steps, in order; those without dependencies start in `Waiting`, the others in `Blocked`.
fn build_tasks(request: &JobRequest, first_run: u64) -> Vec<Task> {
    let count: usize = request.steps.iter().map(|step| step.count as usize).sum();
    let mut tasks = Vec::with_capacity(count);
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
