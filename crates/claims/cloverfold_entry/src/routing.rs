//! Routes submissions and queries to the guards that may coordinate them.
//!
//! Owns nothing. Relies on [`Membership`] for the acting lead and the guards that accept work; a wrong view of them costs a
//! further attempt and cannot start a task twice.

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

/// How often all guards that may coordinate a key are tried. Chosen, not measured.
const ROUNDS: u32 = 3;
/// The pause before round `n`, counted from 0, is drawn from half to one and a half times this doubled `n` times.
/// Chosen, not measured.
const ROUND_PAUSE: Duration = Duration::from_millis(150);
/// Doublings after which the pause no longer grows. Chosen, not measured.
const MAX_DOUBLINGS: u32 = 4;
/// Longest wait for one guard's answer to a query. Chosen, not measured.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its deadline a job may still be running its last tasks. Chosen, not measured.
const ANSWER_GRACE: Duration = Duration::from_secs(60);
/// When a caller is told to retry after no guard accepted the submission. Chosen, not measured.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Finds coordinators for keys and exchanges requests with them.
#[derive(Clone)]
pub(crate) struct JobRouting {
    pub(crate) cell: Cell,
    pub(crate) directory: Arc<Directory>,
    pub(crate) membership: Membership,
    pub(crate) network: Network,
    pub(crate) metrics: EntryMetrics,
}

/// The result of one attempt at one guard.
enum Attempt {
    Answered(Outcome),
    /// The guard did nothing with the submission.
    NotAccepted,
    /// The guard may run the job.
    Lost,
}

impl JobRouting {
    /// Sends a submission to the guards that may coordinate it in turn until one answers.
    ///
    /// Going to the next guard cannot start a task twice: the group agrees on one claim for the key, and a
    /// second coordinator joins the tasks where they are.
    pub(crate) async fn submit(&self, mut submit: Submit) -> Outcome {
        let key = submit.submission.key;
        let mut is_first = true;
        for round in 0..ROUNDS {
            if round > 0 {
                sleep(draw_pause(round)).await;
            }
            for guard in self.order_coordinators(&key).await {
                if !is_first {
                    self.metrics.reroutes.inc();
                }
                is_first = false;
                match self.try_guard(guard, &submit).await {
                    Attempt::Answered(outcome) => return outcome,
                    Attempt::NotAccepted => {}
                    Attempt::Lost => submit.is_sole_attempt = false,
                }
            }
        }
        conclude_without_answer(!submit.is_sole_attempt)
    }

    /// Draws a key for a caller that names none, if possible one whose whole group accepts work now.
    pub(crate) async fn draw_fresh_key(&self, workspace: &str) -> String {
        /// Further keys that are drawn for a better one. Chosen, not measured.
        const DRAWS: usize = 8;
        let mut key = draw_key();
        for _ in 0..DRAWS {
            let group = self
                .cell
                .choose_replica_group(&derive_submission_key(workspace, &key));
            let usable = self.membership.filter_usable(group.clone()).await;
            if usable.len() == group.len() {
                break;
            }
            key = draw_key();
        }
        key
    }

    /// Orders who may coordinate a key: the acting lead, then the key's group by rank, with those that
    /// are not known to accept work last.
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

    async fn try_guard(&self, guard: GuardId, submit: &Submit) -> Attempt {
        let Some(address) = self.directory.address_of(guard) else {
            return Attempt::NotAccepted;
        };
        let timeout = submit.deadline.saturating_sub(unix_now()) + ANSWER_GRACE;
        let reply = self.network.call(address, submit, timeout).await;
        let key = format_key(&submit.submission.key);
        match reply {
            Ok(reply) if !is_bound_to(&reply, submit) => {
                log::error!(key = key, guard = guard; "an answer belongs to another request");
                Attempt::Lost
            }
            Ok(reply) => match reply.verdict {
                SubmitResult::Answered(outcome) => Attempt::Answered(outcome),
                SubmitResult::NotHere(reason) => {
                    log::debug!(key = key, guard = guard; "not taken: {}", reason.as_str());
                    Attempt::NotAccepted
                }
            },
            Err(cause) => {
                log::warn!(key = key, guard = guard; "a submission brought no answer: {cause}");
                match cause {
                    CallError::NotSent { .. } | CallError::Refused { .. } => Attempt::NotAccepted,
                    CallError::Lost { .. } => Attempt::Lost,
                }
            }
        }
    }

    /// Asks the guards what is known of a key; the first that runs or answered the job decides.
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
                    log::debug!(key = format_key(&key), guard = guard; "query: {cause}");
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

fn draw_key() -> String {
    format!("{:016x}{:016x}", random_u64(), random_u64())
}

/// Returns whether a reply answers this request; a late or crossed one must never reach another.
fn is_bound_to(reply: &SubmitReply, submit: &Submit) -> bool {
    reply.key == submit.submission.key && reply.attempt == submit.attempt
}

/// Returns the outcome when no guard answered: unknown if one of them may run the job.
fn conclude_without_answer(may_have_run: bool) -> Outcome {
    let detail = "no guard that holds the key gave an answer";
    if may_have_run {
        Outcome::unknown(ReasonCode::Unavailable, detail)
    } else {
        Outcome::not_run(ReasonCode::Unavailable, detail, Some(RETRY_AFTER))
    }
}

/// Draws the pause before a round; rounds count from 0.
fn draw_pause(round: u32) -> Duration {
    let base = ROUND_PAUSE.as_millis() as u64 * (1 << round.min(MAX_DOUBLINGS));
    Duration::from_millis(base / 2 + random_u64() % base)
}
