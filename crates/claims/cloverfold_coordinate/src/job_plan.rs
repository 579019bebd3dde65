//! Plans a job: waits for slots and proposes where each task runs.
//!
//! The plan is only a proposal; the replicas may choose the claim of another guard.

use std::collections::BTreeMap;

use cloverfold_base::unix_now;
use cloverfold_claims_core::{Claim, ReasonCode};
use cloverfold_membership::InFlightTask;

use crate::admitter::Grant;
use crate::job_context::JobContext;
use crate::messages::Submit;

/// A claim for this guard to propose, with the slots of its tasks.
pub(crate) struct JobPlan {
    /// The claim to propose; it contains a refusal if the job was not admitted.
    pub(crate) proposed: Claim,
    /// The slots, or `None` for a refusal.
    pub(crate) grant: Option<Grant>,
}

/// Waits for slots and chooses where each task runs, or plans a refusal.
pub(crate) async fn plan_job(context: &JobContext, submit: &Submit) -> JobPlan {
    let mut proposed = Claim {
        digest: submit.digest,
        submitted_at: submit.submission.submitted_at,
        placements: Vec::new(),
        tasks: Vec::new(),
        refusal: None,
    };
    match admit_job(context, submit).await {
        Ok(grant) => {
            fill_placements(&mut proposed, &grant.in_flight);
            JobPlan {
                proposed,
                grant: Some(grant),
            }
        }
        Err(reason) => {
            proposed.refusal = Some(reason);
            JobPlan {
                proposed,
                grant: None,
            }
        }
    }
}

/// Waits for slots, at most until the job's deadline.
async fn admit_job(context: &JobContext, submit: &Submit) -> Result<Grant, ReasonCode> {
    if unix_now() >= submit.deadline {
        return Err(ReasonCode::DeadlinePassed);
    }
    let flow = context.cell.flow_of(&submit.service, &submit.workspace);
    let weight = context.cell.weight_of(&submit.workspace);
    let grant = context
        .admitter
        .admit(flow, weight, submit.tasks.len(), submit.deadline)
        .await?;
    if grant.in_flight.is_empty() {
        return Err(ReasonCode::Unavailable);
    }
    Ok(grant)
}

fn fill_placements(claim: &mut Claim, in_flight: &[InFlightTask]) {
    let mut index_of = BTreeMap::new();
    for task in in_flight {
        let index = *index_of.entry(task.placement()).or_insert_with(|| {
            claim.placements.push(task.placement());
            claim.placements.len() as u16 - 1
        });
        claim.tasks.push(index);
    }
}
