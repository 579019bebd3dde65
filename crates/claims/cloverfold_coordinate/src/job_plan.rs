//! Plans a job: waits for slots and proposes where each task runs.
//!
//! The plan is a proposal; the claim that the replicas agree on may be another guard's. Owns nothing: the slots belong to the
//! [`Grant`] that the plan returns. Relies on the admitter for slots and on the cell's settings for weights.

use std::collections::BTreeMap;

use cloverfold_base::unix_now;
use cloverfold_claims_core::{Claim, ReasonCode};
use cloverfold_membership::InFlightTask;

use crate::admitter::Grant;
use crate::job_context::JobContext;
use crate::messages::Submit;

/// A claim that this guard proposes, with the slots for its tasks.
pub(crate) struct JobPlan {
    /// The claim to propose; with a refusal if nothing can run.
    pub(crate) wanted: Claim,
    /// The slots, unless the claim is a refusal.
    pub(crate) grant: Option<Grant>,
}

/// Waits for slots and chooses where each task runs, or decides that nothing can run.
pub(crate) async fn plan_job(context: &JobContext, submit: &Submit) -> JobPlan {
    let mut wanted = Claim {
        digest: submit.digest,
        submitted_at: submit.submission.submitted_at,
        placements: Vec::new(),
        tasks: Vec::new(),
        refusal: None,
    };
    match admit_job(context, submit).await {
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
    if grant.charges.is_empty() {
        return Err(ReasonCode::Unavailable);
    }
    Ok(grant)
}

/// Names the place of each task in a claim.
fn fill_places(claim: &mut Claim, charges: &[InFlightTask]) {
    let mut index_of = BTreeMap::new();
    for charge in charges {
        let index = *index_of.entry(charge.placement()).or_insert_with(|| {
            claim.placements.push(charge.placement());
            claim.placements.len() as u16 - 1
        });
        claim.tasks.push(index);
    }
}
