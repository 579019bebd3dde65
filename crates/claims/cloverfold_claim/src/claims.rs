//! Agreement on a claim with the other replicas of its key.
//!
//! [`Claims`] owns this guard's replica (on the control thread) and the number of its attempts. The decisions are those
//! of [`Proposer`] and [`ClaimReplica`]; the requests between them go over [`Network`].

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cloverfold_app::ThreadState;
use cloverfold_base::{random_u64, unix_now};
use cloverfold_claims_core::{
    Cell, Claim, ClaimReplica, ClaimReply, ClaimRequest, GuardId, Placement, Proposer,
    ProposerStep, ReplicaReply, Submission, SubmissionKey,
};
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::Network;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::error::ClaimError;
use crate::messages::{ClaimAnswer, ClaimCall};

/// Longest wait for one replica's reply. Chosen, not measured.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Attempts to agree on a claim before the submission is answered without one. Chosen, not measured.
const MAX_ATTEMPTS: u32 = 6;
/// Shortest pause between two attempts. Chosen, not measured.
const MIN_BACKOFF: Duration = Duration::from_millis(1);
/// The pause is drawn below this, doubled for each attempt, above [`MIN_BACKOFF`]. Chosen, not measured.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Doublings after which the pause no longer grows. Chosen, not measured.
const MAX_DOUBLINGS: u32 = 5;

/// This guard's replica and its way to the others.
#[derive(Clone)]
pub struct Claims {
    pub(crate) inner: Arc<Inner>,
}

pub(crate) struct Inner {
    pub(crate) own: Placement,
    pub(crate) cell: Cell,
    pub(crate) directory: Arc<Directory>,
    pub(crate) network: Network,
    pub(crate) membership: Membership,
    pub(crate) replica: ThreadState<ClaimReplica>,
    /// Number of the next attempt of this incarnation.
    pub(crate) attempts: AtomicU64,
}

/// How one attempt to agree on a claim ended.
enum AttemptEnd {
    Chosen(Claim),
    Preempted { round: u32 },
    Expired,
    NoQuorum,
}

impl Claims {
    /// Returns the guard and incarnation that hold these claims.
    pub fn placement(&self) -> Placement {
        self.inner.own
    }

    /// Returns the guards that hold a key, first choice first.
    pub fn group_of(&self, key: &SubmissionKey) -> Vec<GuardId> {
        self.inner.cell.choose_replica_group(key)
    }

    /// Returns whether this guard may coordinate a key's job: as a member of its group it must be able to vote.
    pub async fn can_coordinate(&self, key: &SubmissionKey) -> bool {
        let group = self.group_of(key);
        if !group.contains(&self.inner.own.guard) {
            return true;
        }
        let replica = &self.inner.replica;
        replica.with(move |replica| replica.can_vote(&group)).await
    }

    /// Has the group of the key agree on a claim; it may be one that another guard proposed earlier.
    ///
    /// # Errors
    ///
    /// Returns whether no majority could vote or the key is past its retention. After [`ClaimError::NoQuorum`] the
    /// claim may still have been agreed on.
    pub async fn agree(&self, submission: Submission, wanted: Claim) -> Result<Claim, ClaimError> {
        let group = self.group_of(&submission.key);
        let mut proposer = self.first_proposer(&submission, &group, &wanted).await;
        let mut round = 1;
        for attempt in 0..MAX_ATTEMPTS {
            match self.run_attempt(submission, &group, proposer).await {
                AttemptEnd::Chosen(claim) => return Ok(claim),
                AttemptEnd::Expired => return Err(ClaimError::Expired),
                AttemptEnd::Preempted { round: next } => round = round.max(next),
                AttemptEnd::NoQuorum => {}
            }
            sleep(draw_backoff(attempt)).await;
            proposer = self.prepared_proposer(&group, round, wanted.clone());
            round += 1;
        }
        Err(ClaimError::NoQuorum)
    }

    /// Reads what a majority of the group has accepted for a key.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::NoQuorum`] if no majority answered.
    pub async fn read(&self, submission: Submission) -> Result<Option<Claim>, ClaimError> {
        let group = self.group_of(&submission.key);
        let mut replies = self.send_to_group(submission, &group, &ClaimRequest::Read);
        let mut values = Vec::new();
        while let Some(reply) = replies.recv().await {
            if let ClaimReply::Value(value) = reply.body {
                values.push(value);
            }
            if values.len() >= self.inner.cell.quorum() {
                let accepted = values.into_iter().flatten();
                let newest = accepted.max_by_key(|accepted| accepted.ballot);
                return Ok(newest.map(|accepted| accepted.claim));
            }
        }
        Err(ClaimError::NoQuorum)
    }

    /// Returns the proposer of the first attempt, which skips the prepare phase if this guard is the first choice
    /// and holds nothing of the key.
    async fn first_proposer(
        &self,
        submission: &Submission,
        group: &[GuardId],
        wanted: &Claim,
    ) -> Proposer {
        let fast = {
            let (submission, group, claim) = (*submission, group.to_vec(), wanted.clone());
            let (attempt, now) = (self.next_attempt(), unix_now());
            let propose = move |replica: &mut ClaimReplica| {
                replica.propose_fast(&submission, &group, attempt, claim, now)
            };
            self.inner.replica.with(propose).await
        };
        fast.unwrap_or_else(|| self.prepared_proposer(group, 1, wanted.clone()))
    }

    fn prepared_proposer(&self, group: &[GuardId], round: u32, wanted: Claim) -> Proposer {
        let attempt = self.next_attempt();
        Proposer::with_prepare_phase(group.to_vec(), self.inner.own, round, attempt, wanted)
    }

    fn next_attempt(&self) -> u64 {
        self.inner.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Runs one attempt through its phases.
    async fn run_attempt(
        &self,
        submission: Submission,
        group: &[GuardId],
        mut proposer: Proposer,
    ) -> AttemptEnd {
        let mut request = proposer.request();
        loop {
            let mut replies = self.send_to_group(submission, group, &request);
            let next = loop {
                let Some(reply) = replies.recv().await else {
                    return AttemptEnd::NoQuorum;
                };
                match proposer.handle_reply(reply) {
                    ProposerStep::Wait => {}
                    ProposerStep::Send(next) => break next,
                    ProposerStep::Chosen(claim) => return AttemptEnd::Chosen(claim),
                    ProposerStep::Preempted { round } => return AttemptEnd::Preempted { round },
                    ProposerStep::Expired => return AttemptEnd::Expired,
                }
            };
            request = next;
        }
    }

    /// Sends a request to every member; the channel ends when each has answered or failed to.
    fn send_to_group(
        &self,
        submission: Submission,
        group: &[GuardId],
        request: &ClaimRequest,
    ) -> mpsc::Receiver<ReplicaReply> {
        let (tx, rx) = mpsc::channel(group.len());
        for guard in group {
            let claims = self.clone();
            let call = ClaimCall {
                submission,
                request: request.clone(),
                guard_report: self.inner.membership.local_report(),
            };
            let tx = tx.clone();
            let guard = *guard;
            tokio::spawn(async move {
                if let Some(reply) = claims.ask(guard, call).await {
                    // The attempt may be decided already; a late reply is not needed then.
                    let _ = tx.send(reply).await;
                }
            });
        }
        rx
    }

    /// Asks one replica; `None` if it did not reply.
    async fn ask(&self, guard: GuardId, call: ClaimCall) -> Option<ReplicaReply> {
        if guard == self.inner.own.guard {
            return Some(self.handle(call).await);
        }
        let address = self.inner.directory.address_of(guard)?;
        match self.inner.network.call(address, &call, CALL_TIMEOUT).await {
            Ok(answer) => {
                self.inner.membership.record_reports(answer.guard_report);
                Some(answer.reply)
            }
            Err(cause) => {
                log::debug!("claim call: {cause}");
                None
            }
        }
    }

    /// Answers another guard's request.
    pub(crate) async fn serve(&self, call: ClaimCall) -> ClaimAnswer {
        self.inner.membership.record_reports(call.guard_report);
        let reply = self.handle(call).await;
        let guard_report = self.inner.membership.local_report();
        ClaimAnswer {
            reply,
            guard_report,
        }
    }

    /// Answers a request as this guard's replica.
    pub(crate) async fn handle(&self, call: ClaimCall) -> ReplicaReply {
        let group = self.group_of(&call.submission.key);
        let now = unix_now();
        self.inner
            .replica
            .with(move |replica| replica.handle(&call.submission, &group, call.request, now))
            .await
    }
}

/// Draws the pause after an attempt; attempts count from 0.
fn draw_backoff(attempt: u32) -> Duration {
    let ceiling = BACKOFF_BASE.as_millis() as u64 * (1 << attempt.min(MAX_DOUBLINGS));
    MIN_BACKOFF + Duration::from_millis(random_u64() % ceiling)
}
