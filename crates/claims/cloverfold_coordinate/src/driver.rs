//! Runs one job: agrees on its claim, carries out its progress, and returns its answer.
//!
//! [`Driver`] owns the progress of one job and its event queue. The decisions are those of [`JobProgress`];
//! assignments and releases run as tasks of their own ([`JobLink`]) and report by events.

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

use crate::admitter::{FlowCharge, Grant};
use crate::assignment::{JobLink, PlacedTask};
use crate::job_context::JobContext;
use crate::job_plan::{JobPlan, plan_job};
use crate::jobs::JobAnswer;
use crate::messages::Submit;

/// Events that may wait for the driver; a sender waits when the queue is full. Chosen, not measured.
const EVENT_QUEUE: usize = 256;
/// When a caller is told to retry after a refusal because no target was free. Chosen, not measured.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a job to its answer.
pub(crate) async fn drive_job(context: Arc<JobContext>, submit: Submit) -> JobAnswer {
    let is_sole_attempt = submit.is_sole_attempt;
    let JobPlan { wanted, grant } = plan_job(&context, &submit).await;
    if is_sole_attempt && let Some(reason) = wanted.refusal {
        // No other guard has the submission, so this one can answer that nothing runs.
        return JobAnswer::of_sole_attempt(refuse(reason));
    }
    match context.claims.agree(submit.submission, wanted).await {
        Ok(claim) if claim.digest != submit.digest => {
            JobAnswer::proved(refuse(ReasonCode::KeyConflict))
        }
        Ok(claim) => JobAnswer::proved(match claim.refusal {
            Some(reason) => refuse(reason),
            None => drive_claim(context, submit, &claim, grant).await,
        }),
        // Without a claim nothing was assigned here, and no other guard has the submission.
        Err(_) if is_sole_attempt => JobAnswer::of_sole_attempt(refuse(ReasonCode::NoQuorum)),
        Err(cause) => JobAnswer::proved(explain_no_claim(cause)),
    }
}

/// Returns the outcome of a job that is refused before any task was assigned.
fn refuse(reason: ReasonCode) -> Outcome {
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

/// Returns the outcome of a job whose claim could not be agreed on.
fn explain_no_claim(cause: ClaimError) -> Outcome {
    let reason = match cause {
        ClaimError::Expired => ReasonCode::KeyExpired,
        ClaimError::NoQuorum => ReasonCode::NoQuorum,
    };
    Outcome::unknown(reason, format!("{cause}, so nobody can say what was run"))
}

/// Assigns the tasks of an agreed claim and follows them to the job's answer.
async fn drive_claim(
    context: Arc<JobContext>,
    submit: Submit,
    claim: &Claim,
    grant: Option<Grant>,
) -> Outcome {
    let (progress, actions) = JobProgress::begin(claim, submit.repeat);
    let (charges, flow_charge) = match grant {
        Some(grant) => (grant.charges, Some(grant.flow_charge)),
        None => (Vec::new(), None),
    };
    let (tx, events) = mpsc::channel(EVENT_QUEUE);
    let link = JobLink {
        is_lead: context.is_acting_lead().await,
        context,
        submit: Arc::new(submit),
        events: tx,
    };
    let driver = Driver {
        link,
        progress,
        events,
        flow_charge,
    };
    driver.run(actions, PlannedCharges::new(charges)).await
}

/// Charges of the claim that was proposed, by task; the claim agreed on may name other places.
struct PlannedCharges(Vec<Option<InFlightTask>>);

impl PlannedCharges {
    fn new(charges: Vec<InFlightTask>) -> Self {
        Self(charges.into_iter().map(Some).collect())
    }

    /// Removes the charge of a task, if it was planned at this place.
    fn take(&mut self, task: TaskIndex, place: Placement) -> Option<InFlightTask> {
        let planned = self.0.get_mut(usize::from(task))?.take()?;
        (planned.placement() == place).then_some(planned)
    }
}

/// Drives one job whose claim was agreed on.
struct Driver {
    link: JobLink,
    progress: JobProgress,
    events: mpsc::Receiver<JobEvent>,
    /// Counts the job's tasks to its flow, if this guard admitted the job.
    flow_charge: Option<FlowCharge>,
}

impl Driver {
    /// Carries out actions and handles events until the job is answered.
    async fn run(mut self, first: Vec<JobAction>, mut planned: PlannedCharges) -> Outcome {
        let mut answer = self.carry_out(first, &mut planned);
        // Charges at places that the claim does not name are given back.
        drop(planned);
        loop {
            if let Some(outcome) = answer {
                return outcome;
            }
            let Some(event) = self.events.recv().await else {
                return Outcome::unknown(ReasonCode::Unavailable, "the coordinator is stopping");
            };
            let actions = self.absorb(event).await;
            answer = self.carry_out(actions, &mut PlannedCharges::new(Vec::new()));
        }
    }

    async fn absorb(&mut self, event: JobEvent) -> Vec<JobAction> {
        let places = if is_done(&event) {
            self.record_done();
            Vec::new()
        } else {
            self.list_next_places().await
        };
        let context = self.link.context.clone();
        let mut take_retry = || context.take_retry();
        let mut event_context = EventContext {
            places,
            take_retry: &mut take_retry,
        };
        self.progress.handle_event(event, &mut event_context)
    }

    fn record_done(&mut self) {
        if let Some(flow_charge) = &mut self.flow_charge {
            flow_charge.release_one();
        }
        self.link.context.record_success();
    }

    /// Lists where a task can go that did not stay at its place, best first.
    async fn list_next_places(&self) -> Vec<Placement> {
        let mut candidates = self.link.context.membership.list_candidates().await;
        rank_by_load(&mut candidates, random_below)
    }

    /// Starts the assignments and releases that the progress asks for; returns the answer if it is among the actions.
    fn carry_out(&self, actions: Vec<JobAction>, planned: &mut PlannedCharges) -> Option<Outcome> {
        let link = &self.link;
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
                        link.context.metrics.moves.inc();
                    }
                    let planned = planned.take(task, place);
                    let placed = PlacedTask {
                        _charge: planned
                            .unwrap_or_else(|| link.context.membership.track_in_flight(place)),
                        index: task,
                        previous_guards,
                        may_pass_on: may_pass_on && !link.is_lead,
                    };
                    batches.entry(place).or_default().push(placed);
                }
                JobAction::Release { task, place, to } => {
                    link.context.metrics.releases.inc();
                    tokio::spawn(link.clone().run_release(task, place, to));
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
            tokio::spawn(self.link.clone().run_assignment(place, tasks));
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
