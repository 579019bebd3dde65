//! Runs one job: proposes its claim, executes the actions of [`JobProgress`], and returns its answer.
//!
//! Assignments and releases run as separate async tasks ([`TaskDispatch`]) and report events to the [`Driver`].

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::random_below;
use cloverfold_claim::ClaimError;
use cloverfold_claims_core::{
    Claim, EventContext, JobAction, JobEvent, JobProgress, Outcome, Placement, ReasonCode, TaskEnd,
    TaskIndex, rank_by_load,
};
use cloverfold_membership::InFlightTask;
use tokio::sync::mpsc;

use crate::admitter::{FlowUsage, Grant};
use crate::assignment::{PlacedTask, TaskDispatch};
use crate::job_context::JobContext;
use crate::job_plan::{JobPlan, plan_job};
use crate::jobs::JobAnswer;
use crate::messages::Submit;

/// Capacity of the driver's event channel; a sender waits while the channel is full.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// When a caller should retry after a refusal because no target was free.
const RETRY_AFTER: Duration = Duration::from_secs(1);

pub(crate) async fn drive_job(context: Arc<JobContext>, submit: Submit) -> JobAnswer {
    let is_sole_attempt = submit.is_sole_attempt;
    let JobPlan { proposed, grant } = plan_job(&context, &submit).await;
    if is_sole_attempt && let Some(reason) = proposed.refusal {
        // No other guard has the submission, so a refusal needs no claim.
        return JobAnswer::for_sole_attempt(refusal(reason));
    }
    match context.claims.agree(submit.submission, proposed).await {
        Ok(claim) if claim.digest != submit.digest => {
            JobAnswer::unconditional(refusal(ReasonCode::KeyConflict))
        }
        Ok(claim) => JobAnswer::unconditional(match claim.refusal {
            Some(reason) => refusal(reason),
            None => drive_claim(context, submit, &claim, grant).await,
        }),
        // Without a claim this guard assigned no task, and no other guard has the submission.
        Err(_) if is_sole_attempt => JobAnswer::for_sole_attempt(refusal(ReasonCode::NoQuorum)),
        Err(cause) => JobAnswer::unconditional(unknown_claim(cause)),
    }
}

/// Returns the outcome of a job that is refused before any task was assigned.
fn refusal(reason: ReasonCode) -> Outcome {
    let (detail, retry_after) = match reason {
        ReasonCode::KeyConflict => (
            "the idempotency key was used before with another body; use a new key",
            None,
        ),
        ReasonCode::DeadlinePassed => ("the deadline had passed before any task could start", None),
        _ => (
            "no target could take the job; submit it again under a new key",
            Some(RETRY_AFTER),
        ),
    };
    Outcome::not_run(reason, detail, retry_after)
}

/// Returns the outcome of a job whose claim is unknown.
fn unknown_claim(cause: ClaimError) -> Outcome {
    let reason = match cause {
        ClaimError::Expired => ReasonCode::KeyExpired,
        ClaimError::NoQuorum => ReasonCode::NoQuorum,
    };
    Outcome::unknown(reason, format!("{cause}, so nobody can say what was run"))
}

/// Runs the tasks of a chosen claim and returns the job's outcome.
async fn drive_claim(
    context: Arc<JobContext>,
    submit: Submit,
    claim: &Claim,
    grant: Option<Grant>,
) -> Outcome {
    let (progress, actions) = JobProgress::begin(claim, submit.repeat);
    let (in_flight, flow_usage) = match grant {
        Some(grant) => (grant.in_flight, Some(grant.flow_usage)),
        None => (Vec::new(), None),
    };
    let (tx, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let dispatch = TaskDispatch {
        is_lead: context.is_acting_lead().await,
        context,
        submit: Arc::new(submit),
        events: tx,
    };
    let driver = Driver {
        dispatch,
        progress,
        events,
        flow_usage,
    };
    driver.run(actions, PlannedTasks::new(in_flight)).await
}

/// In-flight tasks of the proposed claim, by index; the chosen claim may have other placements.
struct PlannedTasks(Vec<Option<InFlightTask>>);

impl PlannedTasks {
    fn new(in_flight: Vec<InFlightTask>) -> Self {
        Self(in_flight.into_iter().map(Some).collect())
    }

    /// Removes and returns a task if it was planned at this placement.
    fn take(&mut self, task: TaskIndex, place: Placement) -> Option<InFlightTask> {
        let planned = self.0.get_mut(usize::from(task))?.take()?;
        (planned.placement() == place).then_some(planned)
    }
}

/// Runs one job whose claim is chosen.
struct Driver {
    dispatch: TaskDispatch,
    progress: JobProgress,
    events: mpsc::Receiver<JobEvent>,
    /// Slots of the job in its flow, if this guard admitted the job.
    flow_usage: Option<FlowUsage>,
}

impl Driver {
    /// Executes actions and handles events until the job is answered.
    async fn run(mut self, first: Vec<JobAction>, mut planned: PlannedTasks) -> Outcome {
        let mut answer = self.execute_actions(first, &mut planned);
        // Releases the planned tasks whose placement is not in the chosen claim.
        drop(planned);
        loop {
            if let Some(outcome) = answer {
                return outcome;
            }
            let Some(event) = self.events.recv().await else {
                return Outcome::unknown(ReasonCode::Unavailable, "the coordinator is stopping");
            };
            let actions = self.handle_event(event).await;
            answer = self.execute_actions(actions, &mut PlannedTasks::new(Vec::new()));
        }
    }

    async fn handle_event(&mut self, event: JobEvent) -> Vec<JobAction> {
        let next_placements = if is_done(&event) {
            self.record_done();
            Vec::new()
        } else {
            self.list_next_placements().await
        };
        let context = self.dispatch.context.clone();
        let mut take_retry = || context.take_retry();
        let mut event_context = EventContext {
            next_placements,
            take_retry: &mut take_retry,
        };
        self.progress.handle_event(event, &mut event_context)
    }

    fn record_done(&mut self) {
        if let Some(flow_usage) = &mut self.flow_usage {
            flow_usage.release_one();
        }
        self.dispatch.context.record_success();
    }

    /// Returns the placements for a task that has to move, best first.
    async fn list_next_placements(&self) -> Vec<Placement> {
        let mut candidates = self.dispatch.context.membership.list_candidates().await;
        rank_by_load(&mut candidates, random_below)
    }

    /// Starts the assignments and releases among the actions; returns the job's outcome if it is among them.
    fn execute_actions(
        &self,
        actions: Vec<JobAction>,
        planned: &mut PlannedTasks,
    ) -> Option<Outcome> {
        let dispatch = &self.dispatch;
        let mut batches: BTreeMap<Placement, Vec<PlacedTask>> = BTreeMap::new();
        let mut answer = None;
        for action in actions {
            match action {
                JobAction::Assign {
                    task,
                    place,
                    previous_guards,
                    may_pass_on,
                } => {
                    if !previous_guards.is_empty() {
                        dispatch.context.metrics.moves.inc();
                    }
                    let planned = planned.take(task, place);
                    let placed = PlacedTask {
                        _in_flight: planned
                            .unwrap_or_else(|| dispatch.context.membership.track_in_flight(place)),
                        index: task,
                        previous_guards,
                        may_pass_on: may_pass_on && !dispatch.is_lead,
                    };
                    batches.entry(place).or_default().push(placed);
                }
                JobAction::Release { task, place, to } => {
                    dispatch.context.metrics.releases.inc();
                    tokio::spawn(dispatch.clone().run_release(task, place, to));
                }
                JobAction::Answer(outcome) => answer = Some(outcome),
            }
        }
        if answer.is_none() {
            self.start_assignments(batches);
        }
        answer
    }

    fn start_assignments(&self, batches: BTreeMap<Placement, Vec<PlacedTask>>) {
        for (place, tasks) in batches {
            tokio::spawn(self.dispatch.clone().run_assignment(place, tasks));
        }
    }
}

/// Returns whether an event reports a task's result.
fn is_done(event: &JobEvent) -> bool {
    matches!(
        event,
        JobEvent::Ended {
            end: TaskEnd::Done(_),
            ..
        }
    )
}
