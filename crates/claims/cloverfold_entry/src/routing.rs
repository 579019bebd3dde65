//! Routes submissions and queries to the guards that may coordinate them.
//!
//! An outdated view of the membership costs another attempt but cannot start a task twice.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{random_u64, unix_now};
use cloverfold_claims_core::{
    Cell, GuardId, Outcome, ReasonCode, SubmissionKey, derive_submission_key, format_key,
};
use cloverfold_coordinate::{JobState, Query, Submit, SubmitReply, SubmitResult};
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::{CallError, Network};
use tokio::time::sleep;

use crate::metrics::EntryMetrics;

/// How often all guards that may coordinate a key are tried.
const MAX_ROUNDS: u32 = 3;
/// The mean backoff before round `n` is this, doubled `n` times; each is random between half and one and a half of it.
const BACKOFF_BASE: Duration = Duration::from_millis(150);
/// Doublings after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 4;
/// Timeout of a query to one guard.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its deadline a job may still be running its last tasks.
const ANSWER_GRACE_PERIOD: Duration = Duration::from_secs(60);
/// When a caller should retry after no guard accepted the submission.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Selects coordinators for keys and sends requests to them.
#[derive(Clone)]
pub(crate) struct JobRouting {
    pub(crate) cell: Cell,
    pub(crate) directory: Arc<Directory>,
    pub(crate) membership: Membership,
    pub(crate) network: Network,
    pub(crate) metrics: EntryMetrics,
}

/// Result of sending a submission to one guard.
enum AttemptResult {
    Answered(Outcome),
    /// The guard does not run the job.
    NotAccepted,
    /// The reply was lost; the guard may be running the job.
    Lost,
}

impl JobRouting {
    /// Sends a submission to the guards that may coordinate it, one after the other, until one answers.
    ///
    /// A retry at another guard cannot start a task twice: the group agrees on one claim for the key, and a second
    /// coordinator joins the tasks where they are.
    pub(crate) async fn submit(&self, mut submit: Submit) -> Outcome {
        let key = submit.submission.key;
        let mut is_first = true;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                sleep(random_backoff(round)).await;
            }
            for guard in self.order_coordinators(&key).await {
                if !is_first {
                    self.metrics.reroutes.inc();
                }
                is_first = false;
                match self.try_guard(guard, &submit).await {
                    AttemptResult::Answered(outcome) => return outcome,
                    AttemptResult::NotAccepted => {}
                    AttemptResult::Lost => submit.is_sole_attempt = false,
                }
            }
        }
        outcome_without_answer(!submit.is_sole_attempt)
    }

    /// Generates a key for a caller without one, if possible one whose replica group entirely accepts work.
    pub(crate) async fn generate_key(&self, workspace: &str) -> String {
        /// Attempts to generate a better key.
        const MAX_ATTEMPTS: usize = 8;
        let mut key = random_key();
        for _ in 0..MAX_ATTEMPTS {
            let group = self
                .cell
                .choose_replica_group(&derive_submission_key(workspace, &key));
            let usable = self.membership.filter_usable(group.clone()).await;
            if usable.len() == group.len() {
                break;
            }
            key = random_key();
        }
        key
    }

    /// Returns the guards that may coordinate a key, in the order to try them: the acting lead, the usable members of the
    /// key's group by rank, then its other members.
    async fn order_coordinators(&self, key: &SubmissionKey) -> Vec<GuardId> {
        let group = self.cell.choose_replica_group(key);
        let mut ordered: Vec<GuardId> = Vec::new();
        ordered.extend(self.membership.find_acting_lead().await);
        ordered.extend(self.membership.filter_usable(group.clone()).await);
        ordered.extend(group);
        let mut seen = BTreeSet::new();
        ordered.retain(|guard| seen.insert(*guard));
        ordered
    }

    async fn try_guard(&self, guard: GuardId, submit: &Submit) -> AttemptResult {
        let Some(address) = self.directory.address_of(guard) else {
            return AttemptResult::NotAccepted;
        };
        let timeout = submit.deadline.saturating_sub(unix_now()) + ANSWER_GRACE_PERIOD;
        let reply = self.network.call(address, submit, timeout).await;
        let key = format_key(&submit.submission.key);
        match reply {
            Ok(reply) if !is_reply_to(&reply, submit) => {
                log::error!(key = key, guard = guard; "a reply belongs to another request");
                AttemptResult::Lost
            }
            Ok(reply) => match reply.verdict {
                SubmitResult::Answered(outcome) => AttemptResult::Answered(outcome),
                SubmitResult::NotHere(reason) => {
                    log::debug!(key = key, guard = guard; "a guard did not accept a submission: {}", reason.as_str());
                    AttemptResult::NotAccepted
                }
            },
            Err(cause) => {
                log::warn!(key = key, guard = guard; "a guard did not answer a submission: {cause}");
                match cause {
                    CallError::NotSent { .. } | CallError::Refused { .. } => {
                        AttemptResult::NotAccepted
                    }
                    CallError::Lost { .. } => AttemptResult::Lost,
                }
            }
        }
    }

    /// Queries the guards for the state of a job until one is running it or has its answer.
    pub(crate) async fn query(&self, key: SubmissionKey) -> JobState {
        let mut best = JobState::CannotTell;
        for guard in self.order_coordinators(&key).await {
            let Some(address) = self.directory.address_of(guard) else {
                continue;
            };
            let query = Query { key };
            let reply = match self.network.call(address, &query, QUERY_TIMEOUT).await {
                Ok(reply) => reply,
                Err(cause) => {
                    log::debug!(key = format_key(&key), guard = guard; "a query failed: {cause}");
                    continue;
                }
            };
            match reply.state {
                JobState::CannotTell => {}
                JobState::Running | JobState::Answered(_) => return reply.state,
                state => best = state,
            }
        }
        best
    }
}

fn random_key() -> String {
    format!("{:016x}{:016x}", random_u64(), random_u64())
}

/// Returns whether a reply answers this request, so that a caller never gets the answer to another one.
fn is_reply_to(reply: &SubmitReply, submit: &Submit) -> bool {
    reply.key == submit.submission.key && reply.attempt == submit.attempt
}

/// Returns the outcome when no guard answered: unknown if one of them may be running the job.
fn outcome_without_answer(may_have_run: bool) -> Outcome {
    let detail = "no guard that holds the key gave an answer";
    if may_have_run {
        Outcome::unknown(ReasonCode::Unavailable, detail)
    } else {
        Outcome::not_run(ReasonCode::Unavailable, detail, Some(RETRY_AFTER))
    }
}

/// Returns the random backoff before a round, counted from 0.
fn random_backoff(round: u32) -> Duration {
    let base = BACKOFF_BASE.as_millis() as u64 * (1 << round.min(MAX_DOUBLINGS));
    Duration::from_millis(base / 2 + random_u64() % base)
}
