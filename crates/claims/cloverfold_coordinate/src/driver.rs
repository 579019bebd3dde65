//! Runs one job: agrees on its claim, feeds its progress, and returns its answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{draw_below, unix_now};
use cloverfold_claim::ClaimError;
use cloverfold_claims_core::{
    Claim, JobAction, JobEvent, JobOptions, JobProgress, Outcome, Placement, ReasonCode, TaskEnd,
    TaskIndex, rank_by_load,
};
use cloverfold_membership::Charge;
use tokio::sync::mpsc;

use crate::admitter::Grant;
use crate::assignment::{JobLink, PlacedTask};
use crate::coordinator::Coordinator;
use crate::jobs::JobAnswer;
use crate::messages::Submit;

/// Events that may wait for the driver; a sender waits when it is full.
const EVENT_QUEUE: usize = 256;
/// When to come again after a refusal for want of a place.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs a job to its answer.
pub(crate) async fn drive_job(coordinator: Coordinator, submit: Submit) -> JobAnswer {
    let is_sole_attempt = submit.is_sole_attempt;
    let JobPlan { wanted, grant } = plan_job(&coordinator, &submit).await;
    if is_sole_attempt && let Some(reason) = wanted.refusal {
        // No other guard has the submission, so this one alone can say that nothing runs.
        return JobAnswer::of_sole_attempt(refuse(reason));
    }
    match coordinator.claims().agree(submit.submission, wanted).await {
        Ok(claim) if claim.digest != submit.digest => {
            JobAnswer::proved(refuse(ReasonCode::KeyConflict))
        }
        Ok(claim) => JobAnswer::proved(match claim.refusal {
            Some(reason) => refuse(reason),
            None => drive_claim(coordinator, submit, &claim, grant).await,
        }),
        // Without a claim nothing was assigned here, and there is nowhere else.
        Err(_) if is_sole_attempt => JobAnswer::of_sole_attempt(refuse(ReasonCode::NoQuorum)),
        Err(cause) => JobAnswer::proved(explain_no_claim(cause)),
    }
}

/// A claim that this guard would like, with the slots for its tasks.
struct JobPlan {
    wanted: Claim,
    grant: Option<Grant>,
}

/// Waits for slots and chooses where each task runs, or decides that nothing can run.
async fn plan_job(coordinator: &Coordinator, submit: &Submit) -> JobPlan {
    let mut wanted = Claim {
        digest: submit.digest,
        submitted_at: submit.submission.submitted_at,
        placements: Vec::new(),
        tasks: Vec::new(),
        refusal: None,
    };
    match admit_job(coordinator, submit).await {
        Ok(grant) => {
            fill_places(&mut wanted, &grant.charges);
            JobPlan {
                wanted,
                grant: Some(grant),
            }
        }
        Err(reason) => {
            wanted.refusal = Some(reason);
            JobPlan {
                wanted,
                grant: None,
            }
        }
    }
}

async fn admit_job(coordinator: &Coordinator, submit: &Submit) -> Result<Grant, ReasonCode> {
    if unix_now() >= submit.deadline {
        return Err(ReasonCode::DeadlinePassed);
    }
    let flow = coordinator
        .cell()
        .flow_of(&submit.service, &submit.workspace);
    let weight = coordinator.cell().weight_of(&submit.workspace);
    let admitter = coordinator.admitter();
    let grant = admitter
        .admit(flow, weight, submit.tasks.len(), submit.deadline)
        .await?;
    if grant.charges.is_empty() {
        return Err(ReasonCode::Unavailable);
    }
    Ok(grant)
}

fn fill_places(claim: &mut Claim, charges: &[Charge]) {
    let mut index_of = BTreeMap::new();
    for charge in charges {
        let index = *index_of.entry(charge.place()).or_insert_with(|| {
            claim.placements.push(charge.place());
            claim.placements.len() as u16 - 1
        });
        claim.tasks.push(index);
    }
}

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

fn explain_no_claim(cause: ClaimError) -> Outcome {
    let reason = match cause {
        ClaimError::Expired => ReasonCode::KeyExpired,
        ClaimError::NoQuorum => ReasonCode::NoQuorum,
    };
    Outcome::unknown(reason, format!("{cause}, so nobody can say what was run"))
}

async fn drive_claim(
    coordinator: Coordinator,
    submit: Submit,
    claim: &Claim,
    grant: Option<Grant>,
) -> Outcome {
    let (mut progress, mut actions) = JobProgress::begin(claim, submit.repeat);
    let (mut planned, mut hold): (Vec<Option<Charge>>, _) = match grant {
        Some(grant) => (
            grant.charges.into_iter().map(Some).collect(),
            Some(grant.hold),
        ),
        None => (Vec::new(), None),
    };
    let (tx, mut events) = mpsc::channel(EVENT_QUEUE);
    let link = JobLink {
        is_lead: coordinator.is_acting_lead().await,
        coordinator: coordinator.clone(),
        submit: Arc::new(submit),
        events: tx,
    };
    loop {
        if let Some(outcome) = carry_out(&link, actions, &mut planned) {
            return outcome;
        }
        // What was planned for another claim is given back.
        planned.clear();
        let Some(event) = events.recv().await else {
            return Outcome::unknown(ReasonCode::Unavailable, "the coordinator is stopping");
        };
        if is_done(&event)
            && let Some(hold) = &mut hold
        {
            hold.release_one();
        }
        let places = list_next_places(&coordinator, &event).await;
        let budget = coordinator.clone();
        let mut take_retry = || budget.take_retry();
        let mut options = JobOptions {
            places,
            take_retry: &mut take_retry,
        };
        actions = progress.absorb(event, &mut options);
    }
}

/// Sends what the progress asks for; returns the answer when it is there.
fn carry_out(
    link: &JobLink,
    actions: Vec<JobAction>,
    planned: &mut [Option<Charge>],
) -> Option<Outcome> {
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
                    link.coordinator.metrics().moves.inc();
                }
                let placed = PlacedTask {
                    _charge: take_charge(link, planned, task, place),
                    index: task,
                    previous_guards,
                    may_pass_on: may_pass_on && !link.is_lead,
                };
                batches.entry(place).or_default().push(placed);
            }
            JobAction::Release { task, place, to } => {
                link.coordinator.metrics().releases.inc();
                tokio::spawn(link.clone().run_release(task, place, to));
            }
            JobAction::Answer(outcome) => answer = Some(outcome),
        }
    }
    if answer.is_none() {
        for (place, tasks) in batches {
            tokio::spawn(link.clone().run_assignment(place, tasks));
        }
    }
    answer
}

/// Uses the charge that was planned for a task at a place, or makes one.
fn take_charge(
    link: &JobLink,
    planned: &mut [Option<Charge>],
    task: TaskIndex,
    place: Placement,
) -> Charge {
    let held = planned.get_mut(usize::from(task)).and_then(Option::take);
    held.filter(|charge| charge.place() == place)
        .unwrap_or_else(|| link.coordinator.membership().charge(place))
}

fn is_done(event: &JobEvent) -> bool {
    matches!(
        event,
        JobEvent::Ended {
            end: TaskEnd::Done(_),
            ..
        }
    )
}

/// Lists where a task can go that did not stay at its place.
async fn list_next_places(coordinator: &Coordinator, event: &JobEvent) -> Vec<Placement> {
    if is_done(event) {
        coordinator.record_success();
        return Vec::new();
    }
    let mut candidates = coordinator.membership().list_candidates().await;
    rank_by_load(&mut candidates, draw_below)
}
