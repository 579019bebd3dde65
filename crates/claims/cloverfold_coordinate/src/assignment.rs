//! Assigns tasks to a guard and repeats the assignment over lost connections, until the tasks have ended or the
//! placement is lost.
//!
//! A repeated assignment is idempotent: the guard's fence answers it with the state of each task.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cloverfold_base::random_u64;
use cloverfold_claims_core::{GuardId, JobEvent, Placement, TaskEnd, TaskIndex};
use cloverfold_execute::{Assign, AssignReply, AssignedTask, Release};
use cloverfold_membership::InFlightTask;
use cloverfold_net::CallError;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::job_context::JobContext;
use crate::messages::Submit;

/// A placement that is unreachable for this long counts as lost.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(4);
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest backoff before a repeated assignment or release; up to as much is added at random.
const BACKOFF: Duration = Duration::from_millis(60);

/// Sends the assignments and releases of one job, and reports their results as events.
#[derive(Clone)]
pub(crate) struct TaskDispatch {
    /// Whether this guard leads the cell and therefore knows where slots are free.
    pub(crate) is_lead: bool,
    pub(crate) context: Arc<JobContext>,
    pub(crate) submit: Arc<Submit>,
    pub(crate) events: mpsc::Sender<JobEvent>,
}

/// A task of an assignment.
pub(crate) struct PlacedTask {
    /// Counts the task as in flight until it has ended at its placement.
    pub(crate) _in_flight: InFlightTask,
    pub(crate) index: TaskIndex,
    /// Guards that had the task before.
    pub(crate) previous_guards: Vec<GuardId>,
    /// Whether the placement may forward the task.
    pub(crate) may_pass_on: bool,
}

/// Tasks that have not ended at their placement, by index.
type OpenTasks = BTreeMap<TaskIndex, PlacedTask>;

/// Why an assignment was interrupted.
enum Interruption {
    /// The guard has a newer incarnation.
    Superseded,
    /// The connection broke; the assignment can be repeated.
    Broken(String),
}

impl TaskDispatch {
    /// Assigns tasks to a placement and reports how each ends.
    pub(crate) async fn run_assignment(self, place: Placement, tasks: Vec<PlacedTask>) {
        let mut open: OpenTasks = tasks.into_iter().map(|task| (task.index, task)).collect();
        let mut last_reply_at = Instant::now();
        let mut is_first = true;
        while !open.is_empty() {
            if !is_first {
                self.context.metrics.repeated_assigns.inc();
            }
            is_first = false;
            let attempt = self.send_assignment(place, &mut open, &mut last_reply_at);
            let interruption = tokio::select! {
                interruption = attempt => interruption,
                () = self.context.membership.wait_for_restart(place) => Some(Interruption::Superseded),
                // The job is answered, so no more events are needed.
                () = self.events.closed() => return,
            };
            match interruption {
                None => {}
                Some(Interruption::Superseded) => break,
                Some(Interruption::Broken(cause)) => {
                    self.context.membership.suspect(place.guard);
                    log::debug!(guard = place.guard; "an assignment was interrupted: {cause}");
                    if last_reply_at.elapsed() > UNREACHABLE_TIMEOUT {
                        break;
                    }
                    sleep(random_backoff()).await;
                }
            }
        }
        for task in open.into_keys() {
            self.send(JobEvent::PlacementLost { task, place }).await;
        }
    }

    /// Sends the assignment once and reads its replies; returns `None` when every task has ended.
    async fn send_assignment(
        &self,
        place: Placement,
        open: &mut OpenTasks,
        last_reply_at: &mut Instant,
    ) -> Option<Interruption> {
        let assign = self.build_assign(place, open);
        let Some(address) = self.context.directory.address_of(place.guard) else {
            return Some(Interruption::Superseded);
        };
        let opened = self.context.network.open(address, &assign).await;
        let mut replies = match opened {
            Ok(replies) => replies,
            Err(cause) => return Some(interruption_of(&cause)),
        };
        loop {
            match replies.next().await {
                Err(cause) => return Some(interruption_of(&cause)),
                Ok(None) if open.is_empty() => return None,
                Ok(None) => return Some(Interruption::Broken("the replies ended early".into())),
                Ok(Some(AssignReply::WrongIncarnation(_))) => {
                    return Some(Interruption::Superseded);
                }
                Ok(Some(AssignReply::Ended {
                    reports,
                    guard_report,
                })) => {
                    *last_reply_at = Instant::now();
                    self.context.membership.record_reports(guard_report);
                    for report in reports {
                        open.remove(&report.index);
                        self.report_end(report.index, place, report.end).await;
                    }
                    if open.is_empty() {
                        return None;
                    }
                }
            }
        }
    }

    fn build_assign(&self, place: Placement, open: &OpenTasks) -> Assign {
        let submit = &self.submit;
        let tasks = open.values().map(|task| AssignedTask {
            index: task.index,
            payload: submit.tasks[usize::from(task.index)].clone(),
            previous_guards: task.previous_guards.clone(),
            may_pass_on: task.may_pass_on,
        });
        Assign {
            place,
            key: submit.submission.key,
            workspace: submit.workspace.clone(),
            service: submit.service.clone(),
            deadline: submit.deadline,
            keep_until: self.context.keep_until(&submit.submission),
            tasks: tasks.collect(),
            guard_report: self.context.membership.local_report(),
        }
    }

    async fn report_end(&self, task: TaskIndex, place: Placement, end: TaskEnd) {
        self.send(JobEvent::Ended { task, place, end }).await;
    }

    async fn send(&self, event: JobEvent) {
        // The receiver is gone once the job is answered; later events are not needed.
        let _ = self.events.send(event).await;
    }

    /// Asks a placement to release a task and reports the result.
    pub(crate) async fn run_release(
        self,
        task: TaskIndex,
        place: Placement,
        to: Option<Placement>,
    ) {
        let release = Release {
            place,
            key: self.submit.submission.key,
            index: task,
            to,
            keep_until: self.context.keep_until(&self.submit.submission),
        };
        let started_at = Instant::now();
        let Some(address) = self.context.directory.address_of(place.guard) else {
            return self.send(JobEvent::PlacementLost { task, place }).await;
        };
        loop {
            let network = &self.context.network;
            match network.call(address, &release, RELEASE_TIMEOUT).await {
                Ok(reply) => {
                    let verdict = reply.verdict;
                    self.context.membership.record_reports(reply.guard_report);
                    let event = JobEvent::ReleaseAnswered {
                        task,
                        place,
                        verdict,
                    };
                    return self.send(event).await;
                }
                Err(cause) => log::debug!(guard = place.guard; "a release failed: {cause}"),
            }
            if started_at.elapsed() > UNREACHABLE_TIMEOUT {
                return self.send(JobEvent::PlacementLost { task, place }).await;
            }
            sleep(random_backoff()).await;
        }
    }
}

fn interruption_of(cause: &CallError) -> Interruption {
    Interruption::Broken(cause.to_string())
}

fn random_backoff() -> Duration {
    BACKOFF + Duration::from_millis(random_u64() % BACKOFF.as_millis() as u64)
}
