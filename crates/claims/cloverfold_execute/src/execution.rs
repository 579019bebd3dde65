//! The fence together with the coordinators that wait for its tasks.
//!
//! [`Execution`] owns the fence and is used only on the control thread, so that each decision sees the state that the
//! one before left. It starts nothing itself: it returns the tasks that [`crate::task_runner::TaskRunner`] is to start.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cloverfold_base::{UnixTime, random_below};
use cloverfold_claims_core::{
    AssignResult, Candidate, Fence, FenceLimits, Flow, Incarnation, Placement, QueuedTask,
    ReasonCode, ReleaseResult, TaskEnd, TaskId, TaskState, choose_free_placement,
};
use cloverfold_membership::LocalState;
use tokio::sync::mpsc;

use crate::messages::{Assign, AssignedTask, Release, TaskReport};

/// A leaving guard answers coordinators until none has asked for this long.
///
/// A task that is returned runs elsewhere only after its release was answered here; without an answer the
/// job fails with `guard_lost`. The time has to cover what a coordinator may need for an assignment that it
/// placed before it learnt of the stop, and for the release after it. Chosen, not measured.
const DRAIN_QUIET: Duration = Duration::from_secs(1);

/// The tasks of this guard and who is told of their ends.
pub(crate) struct Execution {
    fence: Fence<Bytes>,
    /// Coordinators that wait for a task; each channel has room for all tasks that it was made for.
    watchers: HashMap<TaskId, Vec<mpsc::Sender<TaskReport>>>,
    load: Arc<LocalState>,
    /// When a coordinator last assigned or released tasks here, or when the guard began to leave.
    last_request_at: Instant,
}

/// What the guard is to do after an assignment.
pub(crate) enum Assigned {
    /// The assignment was for another incarnation.
    WrongIncarnation(Incarnation),
    /// Ends come through the channel; these tasks start now.
    Accepted {
        reports: mpsc::Receiver<TaskReport>,
        starts: Vec<QueuedTask<Bytes>>,
    },
}

impl Execution {
    pub(crate) fn new(
        incarnation: Incarnation,
        limits: FenceLimits,
        load: Arc<LocalState>,
    ) -> Self {
        Self {
            fence: Fence::new(incarnation, limits),
            watchers: HashMap::new(),
            load,
            last_request_at: Instant::now(),
        }
    }

    /// Returns whether a leaving guard has nothing left that runs or that a coordinator may still ask for.
    pub(crate) fn is_drained(&self) -> bool {
        self.fence.running() == 0 && self.last_request_at.elapsed() >= DRAIN_QUIET
    }

    /// Queues the tasks of an assignment and starts those that have a slot.
    ///
    /// `others` are guards that tasks without a free slot here may be passed on to.
    pub(crate) fn assign(
        &mut self,
        assign: Assign,
        flow: &Flow,
        weight: f64,
        mut others: Vec<Candidate>,
        now: UnixTime,
    ) -> Assigned {
        self.last_request_at = Instant::now();
        let (tx, reports) = mpsc::channel(assign.tasks.len().max(1));
        let Assign { key, tasks, .. } = assign;
        for task in tasks {
            let id = TaskId {
                key,
                index: task.index,
            };
            let pass_to = self.choose_next_place(&task, &mut others);
            let queued = QueuedTask {
                id,
                flow: flow.clone(),
                weight,
                deadline: assign.deadline,
                keep_until: assign.keep_until,
                payload: Bytes::from(task.payload),
            };
            let incarnation = assign.place.incarnation;
            match self.fence.assign(incarnation, queued, pass_to, now) {
                AssignResult::WrongIncarnation(own) => return Assigned::WrongIncarnation(own),
                AssignResult::Known(TaskState::Ended(end)) => report(&tx, id, end),
                AssignResult::Refused(reason) => report(&tx, id, TaskEnd::Returned(reason)),
                AssignResult::Queued | AssignResult::Known(_) => {
                    self.watchers.entry(id).or_default().push(tx.clone());
                }
            }
        }
        let starts = self.start_waiting(now);
        Assigned::Accepted { reports, starts }
    }

    /// Chooses the guard that a task goes to if it would have to wait here and may be passed on.
    fn choose_next_place(
        &self,
        task: &AssignedTask,
        others: &mut [Candidate],
    ) -> Option<Placement> {
        if !task.may_pass_on || self.fence.can_start_now() {
            return None;
        }
        choose_free_placement(others, &task.previous_guards, random_below)
    }

    /// Records how a task ended and returns what starts in its place.
    pub(crate) fn finish(
        &mut self,
        id: &TaskId,
        end: &TaskEnd,
        now: UnixTime,
    ) -> Vec<QueuedTask<Bytes>> {
        self.fence.finish(id, end.clone(), now);
        self.notify(id, end);
        self.start_waiting(now)
    }

    /// Releases a task that has not started.
    pub(crate) fn release(&mut self, release: &Release) -> ReleaseResult {
        self.last_request_at = Instant::now();
        let id = TaskId {
            key: release.key,
            index: release.index,
        };
        let verdict = self.fence.release(
            release.place.incarnation,
            id,
            release.to,
            release.keep_until,
        );
        if let ReleaseResult::Released(to) = verdict {
            self.notify(&id, &TaskEnd::Released(to));
        }
        self.publish_load();
        verdict
    }

    /// Returns all queued tasks to their coordinators, because the guard leaves.
    pub(crate) fn begin_drain(&mut self) {
        self.last_request_at = Instant::now();
        for id in self.fence.begin_drain() {
            self.notify(&id, &TaskEnd::Returned(ReasonCode::Leaving));
        }
        self.publish_load();
    }

    /// Drops results and entries that are past their time, and watchers that have gone.
    pub(crate) fn drop_expired(&mut self, now: UnixTime) {
        self.fence.drop_expired(now);
        self.watchers.retain(|_, watchers| {
            watchers.retain(|tx| !tx.is_closed());
            !watchers.is_empty()
        });
    }

    fn start_waiting(&mut self, now: UnixTime) -> Vec<QueuedTask<Bytes>> {
        let mut returned = Vec::new();
        let mut starts = Vec::new();
        while let Some(task) = self.fence.start_next(now, &mut returned) {
            starts.push(task);
        }
        for id in returned {
            self.notify(&id, &TaskEnd::Returned(ReasonCode::DeadlinePassed));
        }
        self.publish_load();
        starts
    }

    /// Tells the coordinators that wait for a task that it ended here.
    fn notify(&mut self, id: &TaskId, end: &TaskEnd) {
        // A task that nobody watches has no entry.
        for tx in self.watchers.remove(id).unwrap_or_default() {
            report(&tx, *id, end.clone());
        }
    }

    /// Shows the load to the reports that this guard sends.
    fn publish_load(&self) {
        self.load
            .set_load(self.fence.running(), self.fence.queued());
    }
}

/// Reports the end of a task to a coordinator.
fn report(tx: &mpsc::Sender<TaskReport>, id: TaskId, end: TaskEnd) {
    let report = TaskReport {
        index: id.index,
        end,
    };
    // The channel has room for each task of its assignment, and a coordinator that has gone needs no report.
    let _ = tx.try_send(report);
}
