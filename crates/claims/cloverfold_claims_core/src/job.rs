//! State machine of one job, from its claim to its outcome.
//!
//! [`JobProgress`] decides when a task moves, is retried or is released, and what the outcome is. Its driver executes
//! the [`JobAction`]s and reports [`JobEvent`]s. Several guards may drive one job concurrently: the fence of each guard
//! ([`crate::Fence`]) keeps each task to one start and proves that a task has not started.

use crate::claim::Claim;
use crate::fence::{ReleaseResult, TaskEnd};
use crate::job_events::{EventContext, JobAction, JobEvent};
use crate::outcome::{Outcome, ReasonCode, RetryPolicy};
use crate::task_progress::{TaskProgress, TaskStatus};
use crate::{Placement, TaskIndex};

/// First failure of a job.
#[derive(Clone, Debug)]
struct Failure {
    reason: ReasonCode,
    detail: String,
}

/// What one driver knows of a job.
#[derive(Clone, Debug)]
pub struct JobProgress {
    repeat: RetryPolicy,
    tasks: Vec<TaskProgress>,
    failure: Option<Failure>,
    is_answered: bool,
}

impl JobProgress {
    /// Starts a job from its claim; returns its state and the first assignments.
    pub fn begin(claim: &Claim, repeat: RetryPolicy) -> (Self, Vec<JobAction>) {
        let placements =
            (0..claim.tasks.len() as TaskIndex).filter_map(|task| claim.placement_of(task));
        let tasks: Vec<TaskProgress> = placements.map(TaskProgress::new).collect();
        let assign = |(task, progress): (usize, &TaskProgress)| progress.assign(task as TaskIndex);
        let actions = tasks.iter().enumerate().map(assign).collect();
        let progress = Self {
            repeat,
            tasks,
            failure: None,
            is_answered: false,
        };
        (progress, actions)
    }

    /// Returns the number of completed tasks.
    pub fn done_count(&self) -> usize {
        let is_done = |task: &&TaskProgress| matches!(task.status, TaskStatus::Done(_));
        self.tasks.iter().filter(is_done).count()
    }

    /// Handles an event; returns the actions for the driver.
    pub fn handle_event(
        &mut self,
        event: JobEvent,
        context: &mut EventContext<'_>,
    ) -> Vec<JobAction> {
        let mut actions = Vec::new();
        if self.is_answered {
            return actions;
        }
        let (task, place) = event.origin();
        if self.is_open_at(task, place) {
            self.handle_event_at(task, event, context, &mut actions);
        }
        self.answer_if_decided(&mut actions);
        actions
    }

    fn handle_event_at(
        &mut self,
        task: TaskIndex,
        event: JobEvent,
        context: &mut EventContext<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        match event {
            JobEvent::Ended { end, .. } => self.handle_end(task, end, context, actions),
            JobEvent::ReleaseAnswered { verdict, .. } => {
                self.handle_release_result(task, verdict, context, actions);
            }
            JobEvent::PlacementLost { place, .. } => {
                let detail = guard_lost_detail(place);
                self.retry_or_fail(task, ReasonCode::GuardLost, &detail, context, actions);
            }
        }
    }

    /// Returns whether a task is open at a placement; events of ended tasks and of other placements are ignored.
    fn is_open_at(&self, task: TaskIndex, place: Placement) -> bool {
        let progress = self.tasks.get(usize::from(task));
        progress.is_some_and(|progress| progress.is_open() && progress.place == place)
    }

    fn handle_end(
        &mut self,
        task: TaskIndex,
        end: TaskEnd,
        context: &mut EventContext<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        match end {
            TaskEnd::Done(result) => self.task_mut(task).status = TaskStatus::Done(result),
            TaskEnd::Failed { reason, detail } => {
                self.retry_or_fail(task, reason, &detail, context, actions);
            }
            TaskEnd::Returned(reason) => self.move_or_fail(task, reason, context, actions),
            TaskEnd::Released(place) => self.handle_released(task, place, actions),
        }
    }

    fn handle_release_result(
        &mut self,
        task: TaskIndex,
        verdict: ReleaseResult,
        context: &mut EventContext<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        let place = self.task_mut(task).place;
        match verdict {
            ReleaseResult::Released(to) => self.handle_released(task, to, actions),
            ReleaseResult::Started if self.failure.is_some() => {
                self.task_mut(task).status = TaskStatus::Lost;
            }
            ReleaseResult::Started => {
                let progress = self.task_mut(task);
                progress.status = TaskStatus::Assigned;
                actions.push(progress.assign(task));
            }
            ReleaseResult::WrongIncarnation(_) => {
                let detail = guard_lost_detail(place);
                self.retry_or_fail(task, ReasonCode::GuardLost, &detail, context, actions);
            }
        }
    }

    /// Assigns a released task to its next placement.
    fn handle_released(
        &mut self,
        task: TaskIndex,
        to: Option<Placement>,
        actions: &mut Vec<JobAction>,
    ) {
        let is_failing = self.failure.is_some();
        let progress = self.task_mut(task);
        let Some(place) = to else {
            progress.status = TaskStatus::NeverStarted;
            self.fail_job(ReasonCode::SiblingFailed, "the job was given up", actions);
            return;
        };
        if progress.was_placed_at(place) {
            // Every placement since then has released the task to the next one, so none will ever start it.
            progress.status = TaskStatus::NeverStarted;
            self.fail_job(ReasonCode::Unavailable, "no place kept a task", actions);
        } else if is_failing {
            progress.move_to(place, TaskStatus::Releasing);
            let to = None;
            actions.push(JobAction::Release { task, place, to });
        } else {
            progress.move_to(place, TaskStatus::Assigned);
            actions.push(progress.assign(task));
        }
    }

    /// Moves a task that was returned unstarted, or fails the job if there is no next placement.
    ///
    /// The current placement must release the task first, which fences it there.
    fn move_or_fail(
        &mut self,
        task: TaskIndex,
        reason: ReasonCode,
        context: &mut EventContext<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        let progress = self.task_mut(task);
        let place = progress.place;
        progress.status = TaskStatus::Releasing;
        let can_move = reason != ReasonCode::DeadlinePassed;
        let to = progress
            .choose_next_placement(&context.next_placements)
            .filter(|_| can_move);
        if to.is_none() || self.failure.is_some() {
            self.task_mut(task).status = TaskStatus::Assigned;
            self.fail_job(reason, "a task could not be placed", actions);
            return;
        }
        actions.push(JobAction::Release { task, place, to });
    }

    /// Retries a task that may have started if the job and the retry budget allow it, otherwise fails the job.
    fn retry_or_fail(
        &mut self,
        task: TaskIndex,
        reason: ReasonCode,
        detail: &str,
        context: &mut EventContext<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        if self.can_retry(reason)
            && let Some(place) = self
                .task_mut(task)
                .choose_next_placement(&context.next_placements)
            && (context.take_retry)()
        {
            let progress = self.task_mut(task);
            progress.move_to(place, TaskStatus::Assigned);
            actions.push(progress.assign(task));
            return;
        }
        self.task_mut(task).status = TaskStatus::Lost;
        self.fail_job(reason, detail, actions);
    }

    /// Returns whether the job allows retries and the guard or target was lost, as opposed to a failure of the task.
    fn can_retry(&self, reason: ReasonCode) -> bool {
        let is_placement_lost = matches!(reason, ReasonCode::GuardLost | ReasonCode::TargetLost);
        self.repeat == RetryPolicy::Allowed && is_placement_lost && self.failure.is_none()
    }

    /// Records the first failure and releases every task that is still assigned.
    fn fail_job(&mut self, reason: ReasonCode, detail: &str, actions: &mut Vec<JobAction>) {
        if self.failure.is_none() {
            let detail = detail.to_owned();
            self.failure = Some(Failure { reason, detail });
        }
        for (task, progress) in self.tasks.iter_mut().enumerate() {
            if progress.status == TaskStatus::Assigned {
                progress.status = TaskStatus::Releasing;
                actions.push(JobAction::Release {
                    task: task as TaskIndex,
                    place: progress.place,
                    to: None,
                });
            }
        }
    }

    fn answer_if_decided(&mut self, actions: &mut Vec<JobAction>) {
        if let Some(outcome) = self.decide_outcome() {
            self.is_answered = true;
            actions.push(JobAction::Answer(outcome));
        }
    }

    /// Returns the outcome once it is decided.
    ///
    /// A failed job is `Failed` as soon as one task may have run. It is `NotRun` only if every task is proved not to
    /// have started.
    fn decide_outcome(&mut self) -> Option<Outcome> {
        let Some(failure) = &self.failure else {
            return self.take_results();
        };
        let may_have_run =
            |task: &TaskProgress| matches!(task.status, TaskStatus::Done(_) | TaskStatus::Lost);
        if self.tasks.iter().any(may_have_run) {
            return Some(Outcome::failed(failure.reason, failure.detail.clone()));
        }
        let never_started = |task: &TaskProgress| task.status == TaskStatus::NeverStarted;
        let is_proved = self.tasks.iter().all(never_started);
        is_proved.then(|| Outcome::not_run(failure.reason, failure.detail.clone(), None))
    }

    fn take_results(&mut self) -> Option<Outcome> {
        if self.done_count() < self.tasks.len() {
            return None;
        }
        let take = |task: &mut TaskProgress| match &mut task.status {
            TaskStatus::Done(result) => std::mem::take(result),
            _ => Vec::new(),
        };
        let results = self.tasks.iter_mut().map(take).collect();
        Some(Outcome::Complete { results })
    }

    fn task_mut(&mut self, task: TaskIndex) -> &mut TaskProgress {
        &mut self.tasks[usize::from(task)]
    }
}

fn guard_lost_detail(place: Placement) -> String {
    format!(
        "guard-{} was lost with a task that may have started",
        place.guard
    )
}
