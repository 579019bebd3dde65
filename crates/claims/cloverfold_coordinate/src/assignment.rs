//! Keeps an assignment going over lost connections, until its tasks have ended or their place is lost.
//!
//! An assignment owns the tasks that have not ended at its place, with their charges. It reports to the job's driver by
//! [`JobEvent`]s and relies on the place's fence to answer a repeated assignment with what became of each task.

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

/// A place that cannot be reached for this long counts as lost. Chosen, not measured
/// (docs/design/5-membership.md).
const PATIENCE: Duration = Duration::from_secs(4);
/// Longest wait for the answer to one release. Chosen, not measured.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before a repeated assignment or release: this long and up to as much again, drawn at random. Chosen, not
/// measured.
const BACKOFF: Duration = Duration::from_millis(60);

/// What assignments of one job share.
#[derive(Clone)]
pub(crate) struct JobLink {
    /// Whether this guard coordinates all jobs, and so knows where slots are free.
    pub(crate) is_lead: bool,
    pub(crate) context: Arc<JobContext>,
    pub(crate) submit: Arc<Submit>,
    pub(crate) events: mpsc::Sender<JobEvent>,
}

/// A task on its way to a place.
pub(crate) struct PlacedTask {
    /// Counts the task at its place until it has ended there.
    pub(crate) _charge: InFlightTask,
    pub(crate) index: TaskIndex,
    /// Guards that had the task before.
    pub(crate) previous_guards: Vec<GuardId>,
    /// Whether the place may pass the task on.
    pub(crate) may_pass_on: bool,
}

/// Tasks that have not ended at their place, by number.
type OpenTasks = BTreeMap<TaskIndex, PlacedTask>;

/// Why an assignment brings no more reports.
enum Interruption {
    /// The incarnation that was meant has ended.
    Superseded,
    /// The connection broke; the assignment can be asked for again.
    Link(String),
}

impl JobLink {
    /// Assigns tasks to a place and reports how each ends.
    pub(crate) async fn run_assignment(self, place: Placement, tasks: Vec<PlacedTask>) {
        let mut open: OpenTasks = tasks.into_iter().map(|task| (task.index, task)).collect();
        let mut reached_at = Instant::now();
        let mut is_first = true;
        while !open.is_empty() {
            if !is_first {
                self.context.metrics.repeated_assigns.inc();
            }
            is_first = false;
            let attempt = self.follow_assignment(place, &mut open, &mut reached_at);
            let interruption = tokio::select! {
                interruption = attempt => interruption,
                () = self.context.membership.wait_for_restart(place) => Some(Interruption::Superseded),
                // The job is answered, so no more events are needed.
                () = self.events.closed() => return,
            };
            match interruption {
                None => {}
                Some(Interruption::Superseded) => break,
                Some(Interruption::Link(cause)) => {
                    self.context.membership.suspect(place.guard);
                    log::debug!(guard = place.guard; "assignment: {cause}");
                    if reached_at.elapsed() > PATIENCE {
                        break;
                    }
                    sleep(draw_backoff()).await;
                }
            }
        }
        for task in open.into_keys() {
            self.send(JobEvent::PlacementLost { task, place }).await;
        }
    }

    /// Sends the assignment once and reads its replies until they end; `None` when every task has ended.
    async fn follow_assignment(
        &self,
        place: Placement,
        open: &mut OpenTasks,
        reached_at: &mut Instant,
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
                Ok(None) => return Some(Interruption::Link("the replies ended early".into())),
                Ok(Some(AssignReply::WrongIncarnation(_))) => {
                    return Some(Interruption::Superseded);
                }
                Ok(Some(AssignReply::Ended {
                    reports,
                    guard_report,
                })) => {
                    *reached_at = Instant::now();
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
        // The driver stops listening once the job is answered; later events are not needed.
        let _ = self.events.send(event).await;
    }

    /// Asks a place to release a task and reports the verdict.
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
        let since = Instant::now();
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
                Err(cause) => log::debug!(guard = place.guard; "release: {cause}"),
            }
            if since.elapsed() > PATIENCE {
                return self.send(JobEvent::PlacementLost { task, place }).await;
            }
            sleep(draw_backoff()).await;
        }
    }
}

fn interruption_of(cause: &CallError) -> Interruption {
    Interruption::Link(cause.to_string())
}

fn draw_backoff() -> Duration {
    BACKOFF + Duration::from_millis(random_u64() % BACKOFF.as_millis() as u64)
}
