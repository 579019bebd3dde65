//! Starts the tasks that the fence admits at the target and answers coordinators.
//!
//! The state is in [`Execution`] on the control thread.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_app::ThreadState;
use cloverfold_base::unix_now;
use cloverfold_claims_core::{
    Candidate, Placement, QueuedTask, ReasonCode, ReleaseResult, TaskEnd, TaskId, format_key,
};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::Membership;
use cloverfold_net::ReplySink;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::execution::{Assigned, Execution};
use crate::messages::{Assign, AssignReply, Release, ReleaseReply, TaskReport};
use crate::metrics::ExecuteMetrics;
use crate::target_client::{TargetAnswer, TargetClient, TargetError};

/// How often expired results and entries are dropped.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// How often the usage report of the target is read.
const USAGE_INTERVAL: Duration = Duration::from_secs(5);
/// How often a draining guard checks whether its tasks have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the tasks of one guard; shared by all handlers.
#[derive(Clone)]
pub(crate) struct TaskRunner {
    pub(crate) execution: ThreadState<Execution>,
    pub(crate) target: TargetClient,
    pub(crate) membership: Membership,
    pub(crate) cell: Arc<CellSettings>,
    pub(crate) metrics: ExecuteMetrics,
}

impl TaskRunner {
    /// Handles an assignment until each of its tasks has ended here or was forwarded.
    pub(crate) async fn handle_assign(self, assign: Assign, mut sink: ReplySink) {
        self.membership.record_reports(assign.guard_report);
        let flow = self.cell.flow_of(&assign.service, &assign.workspace);
        let weight = self.cell.weight_of(&assign.workspace);
        let others = self.list_others(assign.place).await;
        let now = unix_now();
        let assigned = self
            .execution
            .with(move |execution| execution.assign(assign, &flow, weight, others, now))
            .await;
        let (mut reports, starts) = match assigned {
            Assigned::WrongIncarnation(own) => {
                if sink.send(&AssignReply::WrongIncarnation(own)).await {
                    sink.finish().await;
                }
                return;
            }
            Assigned::Accepted { reports, starts } => (reports, starts),
        };
        self.spawn_starts(starts);
        while let Some(batch) = receive_batch(&mut reports).await {
            let reply = AssignReply::Ended {
                reports: batch,
                guard_report: self.membership.local_report(),
            };
            if !sink.send(&reply).await {
                return;
            }
        }
        sink.finish().await;
    }

    /// Returns the other guards that accept work.
    async fn list_others(&self, own: Placement) -> Vec<Candidate> {
        let mut others = self.membership.list_candidates().await;
        others.retain(|candidate| candidate.placement.guard != own.guard);
        others
    }

    /// Handles a release; cancels a started task if the coordinator abandons it.
    pub(crate) async fn handle_release(self, release: Release) -> ReleaseReply {
        let id = TaskId {
            key: release.key,
            index: release.index,
        };
        let is_abandoned = release.to.is_none();
        let verdict = self
            .execution
            .with(move |execution| execution.release(&release))
            .await;
        if verdict == ReleaseResult::Started && is_abandoned {
            let target = self.target.clone();
            tokio::spawn(async move { target.cancel(&id).await });
        }
        ReleaseReply {
            verdict,
            guard_report: self.membership.local_report(),
        }
    }

    fn spawn_starts(&self, starts: Vec<QueuedTask<Bytes>>) {
        for task in starts {
            tokio::spawn(self.clone().run_task(task));
        }
    }

    /// Runs a task at the target, records its end and starts the next tasks.
    async fn run_task(self, task: QueuedTask<Bytes>) {
        self.metrics.starts.inc();
        let id = task.id;
        let end = task_end(self.target.start(&id, task.payload).await);
        if !matches!(end, TaskEnd::Done(_)) {
            self.metrics.failures.inc();
            let key = format_key(&id.key);
            log::warn!(key = key, task = id.index; "a task failed or was not started: {end:?}");
        }
        let now = unix_now();
        let starts = self
            .execution
            .with(move |execution| execution.finish(&id, &end, now))
            .await;
        self.spawn_starts(starts);
    }

    /// Drops expired results and entries until the process ends.
    pub(crate) async fn purge(self) {
        loop {
            sleep(PURGE_INTERVAL).await;
            let now = unix_now();
            self.execution
                .post(move |execution| execution.drop_expired(now));
        }
    }

    /// Copies the target's usage reports to the metrics until the process ends.
    pub(crate) async fn poll_usage(self) {
        loop {
            if let Some(usage) = self.target.read_usage().await {
                self.metrics.reported_starts.set(usage.starts as i64);
            }
            sleep(USAGE_INTERVAL).await;
        }
    }

    /// Returns queued tasks, waits for running ones, and answers coordinators until none sends a request.
    pub(crate) async fn drain(self) {
        self.execution.with(Execution::begin_drain).await;
        let is_drained = |execution: &mut Execution| execution.is_drained();
        while !self.execution.with(is_drained).await {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

/// Waits for a report and adds those already in the channel; returns `None` when all have arrived.
async fn receive_batch(reports: &mut mpsc::Receiver<TaskReport>) -> Option<Vec<TaskReport>> {
    let mut batch = vec![reports.recv().await?];
    while let Ok(report) = reports.try_recv() {
        batch.push(report);
    }
    Some(batch)
}

/// Returns how a task ended according to the answer of its target.
fn task_end(answer: Result<TargetAnswer, TargetError>) -> TaskEnd {
    match answer {
        Ok(TargetAnswer::Done(result)) => TaskEnd::Done(result),
        Ok(TargetAnswer::NotStarted) => TaskEnd::Returned(ReasonCode::QueueFull),
        Ok(TargetAnswer::Failed(detail)) => TaskEnd::Failed {
            reason: ReasonCode::TargetFailed,
            detail,
        },
        // The task may have run, so it must not be returned as unstarted.
        Err(cause) => TaskEnd::Failed {
            reason: ReasonCode::TargetLost,
            detail: cause.to_string(),
        },
    }
}
