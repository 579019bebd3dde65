//! The start fence and the task queue of one target.
//!
//! Only the guard starts tasks at its target, and each `(key, task)` at most once in an incarnation. A task moves away
//! only through [`Fence::release`], which either proves that the task has not started here and never will, or returns
//! where it went or that it started. The first release wins, so two coordinators of one job cannot send one task to two
//! guards.
//!
//! The caller starts the tasks that [`Fence::start_next`] returns and reports each end to [`Fence::finish`].

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::fair_queue::{FairQueue, Flow};
use crate::outcome::ReasonCode;
use crate::{Incarnation, Placement, SubmissionKey, TaskIndex};

/// Cost of a task in the fair queue; every task uses one slot.
const TASK_COST: f64 = 1.0;

/// Identifier of one task of one submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// Index of the task in the job.
    pub index: TaskIndex,
}

/// A task that was assigned to a guard.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedTask<P> {
    /// Identifier of the task.
    pub id: TaskId,
    /// The flow in which it is queued.
    pub flow: Flow,
    /// The flow's weight, above 0.
    pub weight: f64,
    /// The task does not start at or after this time.
    pub deadline: UnixTime,
    /// Until when the fence must keep an entry for the task.
    pub keep_until: UnixTime,
    /// Request body for the target.
    pub payload: P,
}

/// How a task ended at its guard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEnd {
    /// The target answered with this result.
    Done(Vec<u8>),
    /// The task may have started and has no result.
    Failed {
        /// Reason of the failure.
        reason: ReasonCode,
        /// Human-readable message.
        detail: String,
    },
    /// The task has not started and the fence has no entry for it; only a release fences it.
    Returned(ReasonCode),
    /// The task has not started here and was forwarded to this placement, or abandoned if there is none.
    Released(Option<Placement>),
}

/// State of one task in the fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// Waiting for a slot.
    Queued,
    /// Sent to the target.
    Running,
    /// Ended at this guard.
    Ended(TaskEnd),
}

/// Result of an assignment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AssignResult {
    /// The task was queued.
    Queued,
    /// The fence has an entry for the task, in this state.
    Known(TaskState),
    /// The task was refused; the fence has no entry for it.
    Refused(ReasonCode),
    /// The assignment was for another incarnation of the guard and had no effect.
    WrongIncarnation(Incarnation),
}

/// Result of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseResult {
    /// The task has not started here and never will; it moved to this placement, or was abandoned if there is none.
    Released(Option<Placement>),
    /// The task was sent to the target and cannot be released.
    Started,
    /// The release was for another incarnation of the guard and had no effect.
    WrongIncarnation(Incarnation),
}

/// Limits of one guard's fence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FenceLimits {
    /// Tasks that may run concurrently.
    pub slots: usize,
    /// Tasks that may wait for a slot.
    pub queue: usize,
    /// How long results are kept for repeated assignments.
    pub answer_retention: Duration,
}

/// Entry of one task.
#[derive(Clone, Debug)]
struct Entry {
    state: TaskState,
    keep_until: UnixTime,
}

/// Expiry time of the result of a task.
#[derive(Clone, Copy, Debug)]
struct ResultExpiry {
    id: TaskId,
    until: UnixTime,
}

/// The tasks of one incarnation of a guard.
#[derive(Clone, Debug)]
pub struct Fence<P> {
    incarnation: Incarnation,
    limits: FenceLimits,
    is_draining: bool,
    running: usize,
    queue: FairQueue<QueuedTask<P>>,
    entries: HashMap<TaskId, Entry>,
    results: VecDeque<ResultExpiry>,
}

impl<P> Fence<P> {
    /// Creates an empty fence for one incarnation of a guard.
    pub fn new(incarnation: Incarnation, limits: FenceLimits) -> Self {
        Self {
            incarnation,
            limits,
            is_draining: false,
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

    /// Returns the number of queued tasks.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the state of a task, if the fence has an entry for it.
    pub fn state_of(&self, id: &TaskId) -> Option<&TaskState> {
        self.entries.get(id).map(|entry| &entry.state)
    }

    /// Queues a task, unless it has an entry, was assigned to another incarnation, or is refused.
    ///
    /// A refused task gets no entry: a coordinator that moves it must release it here first, which fences it. A task
    /// that would have to wait is forwarded to `forward_to`, if there is one.
    pub fn assign(
        &mut self,
        incarnation: Incarnation,
        task: QueuedTask<P>,
        forward_to: Option<Placement>,
        now: UnixTime,
    ) -> AssignResult {
        if incarnation != self.incarnation {
            return AssignResult::WrongIncarnation(self.incarnation);
        }
        if let Some(entry) = self.entries.get(&task.id) {
            return AssignResult::Known(entry.state.clone());
        }
        if forward_to.is_some() && now < task.deadline && !self.can_start_now() {
            let state = TaskState::Ended(TaskEnd::Released(forward_to));
            self.add_entry(task.id, state.clone(), task.keep_until);
            return AssignResult::Known(state);
        }
        if let Some(reason) = self.refusal_reason(&task, now) {
            return AssignResult::Refused(reason);
        }
        self.add_entry(task.id, TaskState::Queued, task.keep_until);
        self.queue
            .push(task.flow.clone(), task.weight, TASK_COST, task);
        AssignResult::Queued
    }

    /// Returns whether a new task would start without waiting.
    pub fn can_start_now(&self) -> bool {
        !self.is_draining && self.running + self.queue.len() < self.limits.slots
    }

    /// Returns the reason to refuse a task, if there is one.
    fn refusal_reason(&self, task: &QueuedTask<P>, now: UnixTime) -> Option<ReasonCode> {
        if self.is_draining {
            Some(ReasonCode::Leaving)
        } else if now >= task.deadline {
            Some(ReasonCode::DeadlinePassed)
        } else if self.running >= self.limits.slots && self.queue.len() >= self.limits.queue {
            Some(ReasonCode::QueueFull)
        } else {
            None
        }
    }

    fn add_entry(&mut self, id: TaskId, state: TaskState, keep_until: UnixTime) {
        self.entries.insert(id, Entry { state, keep_until });
    }

    /// Removes the next task from the queue if a slot is free, and marks it as running.
    ///
    /// Tasks past their deadline lose their entry and are appended to `returned`.
    pub fn start_next(
        &mut self,
        now: UnixTime,
        returned: &mut Vec<TaskId>,
    ) -> Option<QueuedTask<P>> {
        while self.running < self.limits.slots && !self.is_draining {
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

    /// Records the end of a running task and frees its slot.
    ///
    /// A task that the target did not start loses its entry.
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
        self.results.push_back(ResultExpiry { id: *id, until });
    }

    /// Releases a task that has not started to a new placement, or abandons it with `None`.
    ///
    /// A task without an entry gets one, so that an assignment still in flight does not start it.
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
        self.add_entry(id, state, keep_until);
        ReleaseResult::Released(to)
    }

    /// Stops starting tasks; removes and returns all queued tasks.
    pub fn begin_drain(&mut self) -> Vec<TaskId> {
        self.is_draining = true;
        let queued = self.queue.drain_where(|_| true);
        for task in &queued {
            self.entries.remove(&task.id);
        }
        queued.into_iter().map(|task| task.id).collect()
    }

    /// Drops expired results and entries; the task of a dropped result stays fenced until its entry expires.
    pub fn drop_expired(&mut self, now: UnixTime) {
        while let Some(expiry) = self.results.pop_front_if(|expiry| expiry.until <= now) {
            let dropped = TaskEnd::Failed {
                reason: ReasonCode::AnswerDropped,
                detail: "the task ran, but its answer is no longer kept".into(),
            };
            self.set_state(&expiry.id, TaskState::Ended(dropped));
        }
        self.entries.retain(|_, entry| {
            let has_ended = matches!(entry.state, TaskState::Ended(_));
            !has_ended || now < entry.keep_until
        });
    }
}
