//! The fence and the coordinators that wait for its tasks.
//!
//! [`Execution`] runs only on the control thread, which serializes its decisions. It returns the tasks to start to
//! [`crate::task_runner::TaskRunner`].

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

/// A draining guard exits only after no coordinator has sent a request for this long.
///
/// A returned task runs elsewhere only after this guard has answered its release; without an answer the job fails with
/// `guard_lost`. The time covers an assignment that a coordinator sent before it learned of the drain, and the
/// following release.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_secs(1);

/// The tasks of this guard and the coordinators that wait for their ends.
pub(crate) struct Execution {
    fence: Fence<Bytes>,
    /// Coordinators that wait for a task; each channel has capacity for all tasks of its assignment.
    watchers: HashMap<TaskId, Vec<mpsc::Sender<TaskReport>>>,
    local_state: Arc<LocalState>,
    /// Time of the last assignment or release, or of the start of the drain.
    last_request_at: Instant,
}

/// Result of an assignment.
pub(crate) enum Assigned {
    /// The assignment was for another incarnation.
    WrongIncarnation(Incarnation),
    /// The channel receives the report of each task; the caller starts `starts`.
    Accepted {
        reports: mpsc::Receiver<TaskReport>,
        starts: Vec<QueuedTask<Bytes>>,
    },
}

impl Execution {
    pub(crate) fn new(
        incarnation: Incarnation,
        limits: FenceLimits,
        local_state: Arc<LocalState>,
    ) -> Self {
        Self {
            fence: Fence::new(incarnation, limits),
            watchers: HashMap::new(),
            local_state,
            last_request_at: Instant::now(),
        }
    }

    /// Returns whether no task runs and no coordinator has sent a request for the quiet period.
    pub(crate) fn is_drained(&self) -> bool {
        self.fence.running() == 0 && self.last_request_at.elapsed() >= DRAIN_QUIET_PERIOD
    }

    /// Queues the tasks of an assignment and returns those to start.
    ///
    /// Tasks without a free slot here may be forwarded to `others`.
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
            let forward_to = self.choose_forward_target(&task, &mut others);
            let queued = QueuedTask {
                id,
                flow: flow.clone(),
                weight,
                deadline: assign.deadline,
                keep_until: assign.keep_until,
                payload: Bytes::from(task.payload),
            };
            let incarnation = assign.place.incarnation;
            match self.fence.assign(incarnation, queued, forward_to, now) {
                AssignResult::WrongIncarnation(own) => return Assigned::WrongIncarnation(own),
                AssignResult::Known(TaskState::Ended(end)) => report(&tx, id, end),
                AssignResult::Refused(reason) => report(&tx, id, TaskEnd::Returned(reason)),
                AssignResult::Queued | AssignResult::Known(_) => {
                    self.watchers.entry(id).or_default().push(tx.clone());
                }
            }
        }
        let starts = self.start_queued(now);
        Assigned::Accepted { reports, starts }
    }

    /// Returns the placement to forward a task to if it would have to wait here and may be forwarded.
    fn choose_forward_target(
        &self,
        task: &AssignedTask,
        others: &mut [Candidate],
    ) -> Option<Placement> {
        if !task.may_pass_on || self.fence.can_start_now() {
            return None;
        }
        choose_free_placement(others, &task.previous_guards, random_below)
    }

    /// Records the end of a task and returns the tasks to start in the free slot.
    pub(crate) fn finish(
        &mut self,
        id: &TaskId,
        end: &TaskEnd,
        now: UnixTime,
    ) -> Vec<QueuedTask<Bytes>> {
        self.fence.finish(id, end.clone(), now);
        self.notify(id, end);
        self.start_queued(now)
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

    /// Returns all queued tasks to their coordinators and stops starting tasks.
    pub(crate) fn begin_drain(&mut self) {
        self.last_request_at = Instant::now();
        for id in self.fence.begin_drain() {
            self.notify(&id, &TaskEnd::Returned(ReasonCode::Leaving));
        }
        self.publish_load();
    }

    /// Drops expired results and entries, and watchers whose channel is closed.
    pub(crate) fn drop_expired(&mut self, now: UnixTime) {
        self.fence.drop_expired(now);
        self.watchers.retain(|_, watchers| {
            watchers.retain(|tx| !tx.is_closed());
            !watchers.is_empty()
        });
    }

    fn start_queued(&mut self, now: UnixTime) -> Vec<QueuedTask<Bytes>> {
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

    /// Reports the end of a task to the coordinators that wait for it.
    fn notify(&mut self, id: &TaskId, end: &TaskEnd) {
        // A task without watchers has no entry.
        for tx in self.watchers.remove(id).unwrap_or_default() {
            report(&tx, *id, end.clone());
        }
    }

    /// Updates the load in this guard's reports.
    fn publish_load(&self) {
        self.local_state
            .set_load(self.fence.running(), self.fence.queued());
    }
}

/// Sends the end of a task to one coordinator.
fn report(tx: &mpsc::Sender<TaskReport>, id: TaskId, end: TaskEnd) {
    let report = TaskReport {
        index: id.index,
        end,
    };
    // The channel has capacity for each task of its assignment, so the only error is that the coordinator is gone.
    let _ = tx.try_send(report);
}
