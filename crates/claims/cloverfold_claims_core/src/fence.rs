//! The start fence and the queue in front of one target.
//!
//! A guard alone starts tasks at its target, and each `(key, task)` at most once in one incarnation. A task can be
//! moved away from a guard only through this state: [`Fence::release`] either proves that the task has not started
//! and never will here, or returns where it went or that it started. The first release wins, so two coordinators of
//! one job can never send one task to two places. Reasons: docs/design/2-claims-and-fence.md.
//!
//! Owns the state of each task at this guard, and the queue. Relies on the caller to start what
//! [`Fence::start_next`] returns and to report each end to [`Fence::finish`].

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::fair_queue::{FairQueue, Flow};
use crate::outcome::ReasonCode;
use crate::{Incarnation, Placement, SubmissionKey, TaskIndex};

/// Every task takes one slot.
const TASK_COST: f64 = 1.0;

/// Identity of one task of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Place of the task in the job.
    pub index: TaskIndex,
}

/// A task as it is given to a guard.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedTask<P> {
    /// Identity of the task.
    pub id: TaskId,
    /// The flow it is queued in.
    pub flow: Flow,
    /// The flow's weight, above 0.
    pub weight: f64,
    /// No start at or after this time.
    pub deadline: UnixTime,
    /// Until when the fence must remember the task.
    pub keep_until: UnixTime,
    /// What the target is given.
    pub payload: P,
}

/// How a task ended at its guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The target answered with this result.
    Done(Vec<u8>),
    /// The task started and did not end well.
    Failed {
        /// Why.
        reason: ReasonCode,
        /// One sentence for a person.
        detail: String,
    },
    /// The task has not started and is not kept here; only its release fences it.
    Returned(ReasonCode),
    /// The task has not started here and was passed on, or given up where there is no new place.
    Released(Option<Placement>),
}

/// What the fence holds of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for a slot.
    Queued,
    /// It was sent to the target.
    Running,
    /// It is over here.
    Ended(TaskEnd),
}

/// What becomes of an assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignResult {
    /// It waits in the queue.
    Queued,
    /// It was known before; this is its state.
    Known(TaskState),
    /// It is refused, and nothing of it is kept.
    Refused(ReasonCode),
    /// It was meant for another incarnation of the guard, and nothing was done.
    WrongIncarnation(Incarnation),
}

/// What becomes of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseResult {
    /// The task has not started here and never will; it belongs to this place now, or to none.
    Released(Option<Placement>),
    /// The task was sent to the target, so it cannot be released.
    Started,
    /// The release was meant for another incarnation of the guard, and nothing was done.
    WrongIncarnation(Incarnation),
}

/// Bounds of one guard's fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceLimits {
    /// Tasks that may run at once.
    pub slots: usize,
    /// Tasks that may wait.
    pub queue: usize,
    /// How long results are kept for a coordinator that asks again.
    pub answer_retention: Duration,
}

/// One task that the fence remembers.
#[derive(Clone, Debug)]
struct Entry {
    state: TaskState,
    keep_until: UnixTime,
}

/// A result that is kept for a coordinator that asks again.
#[derive(Clone, Copy, Debug)]
struct KeptResult {
    id: TaskId,
    until: UnixTime,
}

/// The tasks of one incarnation of a guard.
#[derive(Clone, Debug)]
pub struct Fence<P> {
    incarnation: Incarnation,
    limits: FenceLimits,
    is_leaving: bool,
    running: usize,
    queue: FairQueue<QueuedTask<P>>,
    entries: HashMap<TaskId, Entry>,
    results: VecDeque<KeptResult>,
}

impl<P> Fence<P> {
    /// Builds an empty fence for one incarnation of a guard.
    pub fn new(incarnation: Incarnation, limits: FenceLimits) -> Self {
        Self {
            incarnation,
            limits,
            is_leaving: false,
            running: 0,
            queue: FairQueue::default(),
            entries: HashMap::new(),
            results: VecDeque::new(),
        }
    }

    /// Returns the number of tasks at the target.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of tasks that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the state of a task, if it is known here.
    pub fn state_of(&self, id: &TaskId) -> Option<&TaskState> {
        self.entries.get(id).map(|entry| &entry.state)
    }

    /// Queues a task, unless it is known, meant for another incarnation, or cannot be accepted.
    ///
    /// A task that is not accepted is not remembered: a coordinator that wants to move it releases it here first,
    /// which fences it. A task that would have to wait is passed on to `pass_to`, if that is given.
    pub fn assign(
        &mut self,
        incarnation: Incarnation,
        task: QueuedTask<P>,
        pass_to: Option<Placement>,
        now: UnixTime,
    ) -> AssignResult {
        if incarnation != self.incarnation {
            return AssignResult::WrongIncarnation(self.incarnation);
        }
        if let Some(entry) = self.entries.get(&task.id) {
            return AssignResult::Known(entry.state.clone());
        }
        if pass_to.is_some() && now < task.deadline && !self.can_start_now() {
            let state = TaskState::Ended(TaskEnd::Released(pass_to));
            self.remember(task.id, state.clone(), task.keep_until);
            return AssignResult::Known(state);
        }
        if let Some(reason) = self.find_obstacle(&task, now) {
            return AssignResult::Refused(reason);
        }
        self.remember(task.id, TaskState::Queued, task.keep_until);
        self.queue
            .push(task.flow.clone(), task.weight, TASK_COST, task);
        AssignResult::Queued
    }

    /// Returns whether a task that came now would start at once.
    pub fn can_start_now(&self) -> bool {
        !self.is_leaving && self.running + self.queue.len() < self.limits.slots
    }

    /// Returns why a task cannot be accepted now, if it cannot.
    fn find_obstacle(&self, task: &QueuedTask<P>, now: UnixTime) -> Option<ReasonCode> {
        if self.is_leaving {
            Some(ReasonCode::Leaving)
        } else if now >= task.deadline {
            Some(ReasonCode::DeadlinePassed)
        } else if self.running >= self.limits.slots && self.queue.len() >= self.limits.queue {
            Some(ReasonCode::QueueFull)
        } else {
            None
        }
    }

    fn remember(&mut self, id: TaskId, state: TaskState, keep_until: UnixTime) {
        self.entries.insert(id, Entry { state, keep_until });
    }

    /// Removes the next task from the queue while a slot is free, and marks it as started.
    ///
    /// Tasks whose deadline has passed are forgotten on the way and listed in `returned`.
    pub fn start_next(
        &mut self,
        now: UnixTime,
        returned: &mut Vec<TaskId>,
    ) -> Option<QueuedTask<P>> {
        while self.running < self.limits.slots && !self.is_leaving {
            let task = self.queue.pop()?;
            if now < task.deadline {
                self.set_state(&task.id, TaskState::Running);
                self.running += 1;
                return Some(task);
            }
            self.entries.remove(&task.id);
            returned.push(task.id);
        }
        None
    }

    fn set_state(&mut self, id: &TaskId, state: TaskState) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.state = state;
        }
    }

    /// Records how a running task ended and frees its slot.
    ///
    /// A task that the target proved not to have started is forgotten.
    pub fn finish(&mut self, id: &TaskId, end: TaskEnd, now: UnixTime) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.state != TaskState::Running {
            return;
        }
        self.running -= 1;
        if matches!(end, TaskEnd::Returned(_)) {
            self.entries.remove(id);
            return;
        }
        entry.state = TaskState::Ended(end);
        let until = now + self.limits.answer_retention;
        self.results.push_back(KeptResult { id: *id, until });
    }

    /// Gives up a task that has not started, to a new place or, with `None`, for good.
    ///
    /// A task that is not known yet is fenced, so that its assignment, still on the way, starts nothing.
    pub fn release(
        &mut self,
        incarnation: Incarnation,
        id: TaskId,
        to: Option<Placement>,
        keep_until: UnixTime,
    ) -> ReleaseResult {
        if incarnation != self.incarnation {
            return ReleaseResult::WrongIncarnation(self.incarnation);
        }
        match self.state_of(&id) {
            Some(
                TaskState::Running | TaskState::Ended(TaskEnd::Done(_) | TaskEnd::Failed { .. }),
            ) => {
                return ReleaseResult::Started;
            }
            Some(TaskState::Ended(TaskEnd::Released(place))) => {
                return ReleaseResult::Released(*place);
            }
            Some(TaskState::Queued) => {
                self.queue.drain_where(|task| task.id == id);
            }
            Some(TaskState::Ended(TaskEnd::Returned(_))) | None => {}
        }
        let state = TaskState::Ended(TaskEnd::Released(to));
        self.remember(id, state, keep_until);
        ReleaseResult::Released(to)
    }

    /// Starts nothing any more; forgets all queued tasks and returns them.
    pub fn begin_drain(&mut self) -> Vec<TaskId> {
        self.is_leaving = true;
        let waiting = self.queue.drain_where(|_| true);
        for task in &waiting {
            self.entries.remove(&task.id);
        }
        waiting.into_iter().map(|task| task.id).collect()
    }

    /// Drops results and entries whose time has passed; the task of a dropped result stays fenced.
    pub fn drop_expired(&mut self, now: UnixTime) {
        while let Some(kept) = self.results.pop_front_if(|kept| kept.until <= now) {
            let dropped = TaskEnd::Failed {
                reason: ReasonCode::AnswerDropped,
                detail: "the task ran, but its answer is no longer kept".into(),
            };
            self.set_state(&kept.id, TaskState::Ended(dropped));
        }
        self.entries.retain(|_, entry| {
            let is_over = matches!(entry.state, TaskState::Ended(_));
            !is_over || now < entry.keep_until
        });
    }
}
