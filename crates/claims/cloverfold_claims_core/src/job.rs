//! Progress of one job, from its claim to its answer.
//!
//! [`JobProgress`] decides; its driver sends what the [`JobAction`]s ask for and feeds back what comes as
//! [`JobEvent`]s. Several drivers may run one job at a time, on several guards: a task starts where its
//! fence says, whoever asks.

use crate::claim::Claim;
use crate::fence::{ReleaseVerdict, TaskEnd};
use crate::outcome::{Outcome, ReasonCode, Repeat};
use crate::{GuardId, Placement, TaskIndex};

/// How often one task may be moved before the job gives up.
const MAX_MOVES: usize = 3;

/// What the driver is to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobAction {
    /// Give a task to a place, or ask how it goes if the place has it.
    Assign {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
        /// Guards that had the task before; the place may pass it on to others.
        previous_guards: Vec<GuardId>,
        /// Whether the place may pass the task on.
        may_pass_on: bool,
    },
    /// Ask a place to give up a task.
    Release {
        /// The task.
        task: TaskIndex,
        /// The place that has it.
        place: Placement,
        /// Where it goes, or nowhere.
        to: Option<Placement>,
    },
    /// Tell the caller; comes exactly once.
    Answer(Outcome),
}

/// What the driver heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobEvent {
    /// A place says how a task ended there.
    Ended {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
        /// How it ended.
        end: TaskEnd,
    },
    /// A place answered a release.
    Verdict {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
        /// Its answer.
        verdict: ReleaseVerdict,
    },
    /// A place is gone or out of reach for good, with what it had of a task.
    PlaceLost {
        /// The task.
        task: TaskIndex,
        /// The place.
        place: Placement,
    },
}

/// What the driver offers for a decision about one event.
pub struct JobOptions<'a> {
    /// Where a task can go next, best first.
    pub places: Vec<Placement>,
    /// Takes a retry out of the process's budget.
    pub take_retry: &'a mut dyn FnMut() -> bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum TaskStatus {
    Assigned,
    Releasing,
    Done(Vec<u8>),
    /// Proved not to have started and never to start.
    NeverStarted,
    /// It started, or may have, and brought no result.
    Spoiled,
}

#[derive(Clone, Debug)]
struct TaskProgress {
    place: Placement,
    status: TaskStatus,
    /// Places that gave the task up, none of which will ever start it.
    previous_places: Vec<Placement>,
}

impl TaskProgress {
    /// Asks the present place to run the task, or to pass it on if it has not been moved too often.
    fn assign(&self, task: TaskIndex) -> JobAction {
        JobAction::Assign {
            task,
            place: self.place,
            previous_guards: self
                .previous_places
                .iter()
                .map(|place| place.guard)
                .collect(),
            may_pass_on: self.previous_places.len() < MAX_MOVES,
        }
    }

    fn go_to(&mut self, place: Placement, status: TaskStatus) {
        self.previous_places.push(self.place);
        self.place = place;
        self.status = status;
    }

    /// Chooses a place that has not had the task, as long as it has not been moved too often.
    fn choose_next(&self, places: &[Placement]) -> Option<Placement> {
        if self.previous_places.len() >= MAX_MOVES {
            return None;
        }
        let is_new =
            |place: &&Placement| **place != self.place && !self.previous_places.contains(place);
        places.iter().find(is_new).copied()
    }
}

#[derive(Clone, Debug)]
struct Failure {
    reason: ReasonCode,
    detail: String,
}

/// State of one driver of a job.
#[derive(Clone, Debug)]
pub struct JobProgress {
    repeat: Repeat,
    tasks: Vec<TaskProgress>,
    failure: Option<Failure>,
    is_answered: bool,
}

impl JobProgress {
    /// Begins to drive a claim; returns the first assignments with it.
    pub fn begin(claim: &Claim, repeat: Repeat) -> (Self, Vec<JobAction>) {
        let places =
            (0..claim.tasks.len() as TaskIndex).filter_map(|task| claim.placement_of(task));
        let tasks: Vec<TaskProgress> = places
            .map(|place| TaskProgress {
                place,
                status: TaskStatus::Assigned,
                previous_places: Vec::new(),
            })
            .collect();
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

    /// Returns the number of tasks that are done.
    pub fn done_count(&self) -> usize {
        let is_done = |task: &&TaskProgress| matches!(task.status, TaskStatus::Done(_));
        self.tasks.iter().filter(is_done).count()
    }

    /// Takes in an event and says what to send.
    pub fn absorb(&mut self, event: JobEvent, options: &mut JobOptions<'_>) -> Vec<JobAction> {
        let mut actions = Vec::new();
        if self.is_answered {
            return actions;
        }
        match event {
            JobEvent::Ended { task, place, end } => {
                if self.is_at(task, place) {
                    self.absorb_end(task, end, options, &mut actions);
                }
            }
            JobEvent::Verdict {
                task,
                place,
                verdict,
            } => {
                if self.is_at(task, place) {
                    self.absorb_verdict(task, verdict, options, &mut actions);
                }
            }
            JobEvent::PlaceLost { task, place } => {
                if self.is_at(task, place) {
                    let detail = lost_detail(place);
                    self.spoil(task, ReasonCode::GuardLost, &detail, options, &mut actions);
                }
            }
        }
        self.answer_if_decided(&mut actions);
        actions
    }

    /// Ignores what comes from a place that no longer has the task, and what comes after its end.
    fn is_at(&self, task: TaskIndex, place: Placement) -> bool {
        let progress = self.tasks.get(usize::from(task));
        progress.is_some_and(|progress| {
            let is_open = matches!(
                progress.status,
                TaskStatus::Assigned | TaskStatus::Releasing
            );
            is_open && progress.place == place
        })
    }

    fn absorb_end(
        &mut self,
        task: TaskIndex,
        end: TaskEnd,
        options: &mut JobOptions<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        match end {
            TaskEnd::Done(result) => self.task_mut(task).status = TaskStatus::Done(result),
            TaskEnd::Failed { reason, detail } => {
                self.spoil(task, reason, &detail, options, actions);
            }
            TaskEnd::Returned(reason) => self.move_or_fail(task, reason, options, actions),
            TaskEnd::Released(place) => self.follow(task, place, actions),
        }
    }

    fn absorb_verdict(
        &mut self,
        task: TaskIndex,
        verdict: ReleaseVerdict,
        options: &mut JobOptions<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        let place = self.task_mut(task).place;
        match verdict {
            ReleaseVerdict::Released(to) => self.follow(task, to, actions),
            ReleaseVerdict::Started if self.failure.is_some() => {
                self.task_mut(task).status = TaskStatus::Spoiled;
            }
            ReleaseVerdict::Started => {
                let progress = self.task_mut(task);
                progress.status = TaskStatus::Assigned;
                actions.push(progress.assign(task));
            }
            ReleaseVerdict::WrongIncarnation(_) => {
                let detail = lost_detail(place);
                self.spoil(task, ReasonCode::GuardLost, &detail, options, actions);
            }
        }
    }

    /// Goes where a task was passed on to.
    fn follow(&mut self, task: TaskIndex, to: Option<Placement>, actions: &mut Vec<JobAction>) {
        let is_failing = self.failure.is_some();
        let progress = self.task_mut(task);
        let Some(place) = to else {
            progress.status = TaskStatus::NeverStarted;
            self.fail(ReasonCode::SiblingFailed, "the job was given up", actions);
            return;
        };
        if progress.previous_places.contains(&place) || progress.place == place {
            // Each place on the way has passed the task on to the next, so none will ever start it.
            progress.status = TaskStatus::NeverStarted;
            self.fail(ReasonCode::Unavailable, "no place kept a task", actions);
        } else if is_failing {
            progress.go_to(place, TaskStatus::Releasing);
            let to = None;
            actions.push(JobAction::Release { task, place, to });
        } else {
            progress.go_to(place, TaskStatus::Assigned);
            actions.push(progress.assign(task));
        }
    }

    fn move_or_fail(
        &mut self,
        task: TaskIndex,
        reason: ReasonCode,
        options: &mut JobOptions<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        let progress = self.task_mut(task);
        let place = progress.place;
        progress.status = TaskStatus::Releasing;
        let can_move = reason != ReasonCode::DeadlinePassed;
        let to = progress.choose_next(&options.places).filter(|_| can_move);
        if to.is_none() || self.failure.is_some() {
            self.task_mut(task).status = TaskStatus::Assigned;
            self.fail(reason, "a task could not be placed", actions);
            return;
        }
        actions.push(JobAction::Release { task, place, to });
    }

    fn spoil(
        &mut self,
        task: TaskIndex,
        reason: ReasonCode,
        detail: &str,
        options: &mut JobOptions<'_>,
        actions: &mut Vec<JobAction>,
    ) {
        if self.can_repeat(reason)
            && let Some(place) = self.task_mut(task).choose_next(&options.places)
            && (options.take_retry)()
        {
            let progress = self.task_mut(task);
            progress.go_to(place, TaskStatus::Assigned);
            actions.push(progress.assign(task));
            return;
        }
        self.task_mut(task).status = TaskStatus::Spoiled;
        self.fail(reason, detail, actions);
    }

    /// A task is repeated only where its workspace allows it and its place, not the task itself, failed.
    fn can_repeat(&self, reason: ReasonCode) -> bool {
        let is_place_at_fault = matches!(reason, ReasonCode::GuardLost | ReasonCode::TargetLost);
        self.repeat == Repeat::Allowed && is_place_at_fault && self.failure.is_none()
    }

    /// Notes the first failure and takes back every task that is still open.
    fn fail(&mut self, reason: ReasonCode, detail: &str, actions: &mut Vec<JobAction>) {
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
        if let Some(outcome) = self.decide() {
            self.is_answered = true;
            actions.push(JobAction::Answer(outcome));
        }
    }

    fn decide(&mut self) -> Option<Outcome> {
        let Some(failure) = &self.failure else {
            return self.take_results();
        };
        let may_have_run =
            |task: &TaskProgress| matches!(task.status, TaskStatus::Done(_) | TaskStatus::Spoiled);
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

fn lost_detail(place: Placement) -> String {
    format!(
        "guard-{} was lost with a task that may have started",
        place.guard
    )
}
