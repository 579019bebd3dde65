//! The fence together with who waits for its tasks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cloverfold_base::{UnixTime, draw_below};
use cloverfold_claims_core::{
    AssignVerdict, Candidate, Fence, FenceLimits, Flow, Incarnation, QueuedTask, ReasonCode,
    ReleaseVerdict, TaskEnd, TaskId, TaskState, choose_free_place,
};
use cloverfold_membership::OwnState;
use tokio::sync::mpsc;

use crate::messages::{Assign, Release, TaskReport};

/// A leaving guard answers coordinators until none has asked for this long.
///
/// A task that is returned runs elsewhere only after its release was answered here; without an answer the
/// job fails with `guard_lost`. The time has to cover what a coordinator may need for an assignment that it
/// placed before it heard of the stop, and for the release after it. Chosen, not measured.
const DRAIN_QUIET: Duration = Duration::from_secs(1);

/// Control state of the target: decisions go through here on the control thread.
pub(crate) struct Execution {
    fence: Fence<Bytes>,
    /// Coordinators that wait for a task; each channel has room for all tasks that it was made for.
    watchers: HashMap<TaskId, Vec<mpsc::Sender<TaskReport>>>,
    load: Arc<OwnState>,
    /// When a coordinator last assigned or released tasks here, or when the guard began to leave.
    last_request_at: Instant,
}

/// What the guard is to do after an assignment.
pub(crate) enum Assigned {
    /// The assignment was for another life.
    WrongIncarnation(Incarnation),
    /// Ends come through the channel; these tasks start now.
    Taken {
        reports: mpsc::Receiver<TaskReport>,
        starts: Vec<QueuedTask<Bytes>>,
    },
}

impl Execution {
    pub(crate) fn new(incarnation: Incarnation, limits: FenceLimits, load: Arc<OwnState>) -> Self {
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

    /// Takes an assignment in and starts what has a slot.
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
        for task in assign.tasks {
            let id = TaskId {
                key: assign.key,
                index: task.index,
            };
            let queued = QueuedTask {
                id,
                flow: flow.clone(),
                weight,
                deadline: assign.deadline,
                keep_until: assign.keep_until,
                payload: Bytes::from(task.payload),
            };
            let pass_to = if task.may_pass_on && !self.fence.can_start_now() {
                choose_free_place(&mut others, &task.previous_guards, draw_below)
            } else {
                None
            };
            let incarnation = assign.place.incarnation;
            match self.fence.assign(incarnation, queued, pass_to, now) {
                AssignVerdict::WrongIncarnation(own) => return Assigned::WrongIncarnation(own),
                AssignVerdict::Known(TaskState::Ended(end)) => {
                    let index = task.index;
                    // The channel has room for every task, and its other end is ours.
                    let _ = tx.try_send(TaskReport { index, end });
                }
                AssignVerdict::NotTaken(reason) => {
                    let end = TaskEnd::Returned(reason);
                    let index = task.index;
                    let _ = tx.try_send(TaskReport { index, end });
                }
                AssignVerdict::Queued | AssignVerdict::Known(_) => {
                    self.watchers.entry(id).or_default().push(tx.clone());
                }
            }
        }
        let starts = self.start_waiting(now);
        Assigned::Taken { reports, starts }
    }

    /// Notes how a task ended and returns what starts in its place.
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

    /// Gives up a task that has not started.
    pub(crate) fn release(&mut self, release: &Release) -> ReleaseVerdict {
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
        if let ReleaseVerdict::Released(to) = verdict {
            self.notify(&id, &TaskEnd::Released(to));
        }
        self.note_load();
        verdict
    }

    /// Returns all that waits, because the guard leaves.
    pub(crate) fn begin_leaving(&mut self) {
        self.last_request_at = Instant::now();
        for id in self.fence.begin_leaving() {
            self.notify(&id, &TaskEnd::Returned(ReasonCode::Leaving));
        }
        self.note_load();
    }

    /// Drops what is past its time.
    pub(crate) fn collect_expired(&mut self, now: UnixTime) {
        self.fence.collect_expired(now);
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
        self.note_load();
        starts
    }

    /// Tells those who wait for a task that it ended here.
    fn notify(&mut self, id: &TaskId, end: &TaskEnd) {
        for tx in self.watchers.remove(id).unwrap_or_default() {
            let report = TaskReport {
                index: id.index,
                end: end.clone(),
            };
            // A coordinator that has gone needs no report; there is room for those that have not.
            let _ = tx.try_send(report);
        }
    }

    fn note_load(&self) {
        self.load.set(self.fence.running(), self.fence.queued());
    }
}
