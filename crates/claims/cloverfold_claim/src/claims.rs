//! Consensus on a claim among the replicas of its key.
//!
//! [`Claims`] sends the requests of [`Proposer`] to the [`ClaimReplica`] of each member over [`Network`]. This guard's
//! replica runs on the control thread.

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

/// Timeout of one replica's reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Proposals before [`Claims::agree`] gives up.
const MAX_ATTEMPTS: u32 = 6;
/// Shortest backoff between two proposals.
const MIN_BACKOFF: Duration = Duration::from_millis(1);
/// Upper bound of the first random backoff beyond [`MIN_BACKOFF`]; it doubles with each attempt.
const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Doublings after which the backoff no longer grows.
const MAX_DOUBLINGS: u32 = 5;

/// This guard's replica and its connections to the other replicas.
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
    /// Number of the next proposal in this incarnation.
    pub(crate) attempts: AtomicU64,
}

enum ProposalEnd {
    Chosen(Claim),
    Preempted { round: u32 },
    Expired,
    NoQuorum,
}

impl Claims {
    /// Returns this guard and its incarnation.
    pub fn placement(&self) -> Placement {
        self.inner.own
    }

    /// Returns the replica group of a key, the preferred proposer first.
    pub fn group_of(&self, key: &SubmissionKey) -> Vec<GuardId> {
        self.inner.cell.choose_replica_group(key)
    }

    /// Returns whether this guard may coordinate a key's job; a member of the key's group must be able to vote.
    pub async fn can_coordinate(&self, key: &SubmissionKey) -> bool {
        let group = self.group_of(key);
        if !group.contains(&self.inner.own.guard) {
            return true;
        }
        let replica = &self.inner.replica;
        replica.with(move |replica| replica.can_vote(&group)).await
    }

    /// Proposes a claim and returns the chosen one, which another guard may have proposed.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::Expired`] if the key is past its retention, and [`ClaimError::NoQuorum`] if no majority
    /// answered in time; the claim may be chosen nevertheless.
    pub async fn agree(
        &self,
        submission: Submission,
        proposed: Claim,
    ) -> Result<Claim, ClaimError> {
        let group = self.group_of(&submission.key);
        let mut proposer = self.first_proposer(&submission, &group, &proposed).await;
        let mut round = 1;
        for attempt in 0..MAX_ATTEMPTS {
            match self.run_proposal(submission, &group, proposer).await {
                ProposalEnd::Chosen(claim) => return Ok(claim),
                ProposalEnd::Expired => return Err(ClaimError::Expired),
                ProposalEnd::Preempted { round: next } => round = round.max(next),
                ProposalEnd::NoQuorum => {}
            }
            sleep(random_backoff(attempt)).await;
            proposer = self.prepared_proposer(&group, round, proposed.clone());
            round += 1;
        }
        Err(ClaimError::NoQuorum)
    }

    /// Reads the newest claim that a majority of the group has accepted for a key.
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

    /// Returns the first proposer, which skips the prepare phase if this guard is the preferred proposer and has no
    /// record of the key.
    async fn first_proposer(
        &self,
        submission: &Submission,
        group: &[GuardId],
        proposed: &Claim,
    ) -> Proposer {
        let fast = {
            let (submission, group, claim) = (*submission, group.to_vec(), proposed.clone());
            let (attempt, now) = (self.next_attempt(), unix_now());
            let propose = move |replica: &mut ClaimReplica| {
                replica.propose_fast(&submission, &group, attempt, claim, now)
            };
            self.inner.replica.with(propose).await
        };
        fast.unwrap_or_else(|| self.prepared_proposer(group, 1, proposed.clone()))
    }

    fn prepared_proposer(&self, group: &[GuardId], round: u32, proposed: Claim) -> Proposer {
        let attempt = self.next_attempt();
        Proposer::with_prepare_phase(group.to_vec(), self.inner.own, round, attempt, proposed)
    }

    fn next_attempt(&self) -> u64 {
        self.inner.attempts.fetch_add(1, Ordering::Relaxed)
    }

    async fn run_proposal(
        &self,
        submission: Submission,
        group: &[GuardId],
        mut proposer: Proposer,
    ) -> ProposalEnd {
        let mut request = proposer.request();
        loop {
            let mut replies = self.send_to_group(submission, group, &request);
            let next = loop {
                let Some(reply) = replies.recv().await else {
                    return ProposalEnd::NoQuorum;
                };
                match proposer.handle_reply(reply) {
                    ProposerStep::Wait => {}
                    ProposerStep::Send(next) => break next,
                    ProposerStep::Chosen(claim) => return ProposalEnd::Chosen(claim),
                    ProposerStep::Preempted { round } => return ProposalEnd::Preempted { round },
                    ProposerStep::Expired => return ProposalEnd::Expired,
                }
            };
            request = next;
        }
    }

    /// Sends a request to every member; the channel closes once each call has succeeded or failed.
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
                if let Some(reply) = claims.call_replica(guard, call).await {
                    // The receiver is gone once the phase is decided; late replies are not needed.
                    let _ = tx.send(reply).await;
                }
            });
        }
        rx
    }

    /// Calls one replica; returns `None` if it did not reply.
    async fn call_replica(&self, guard: GuardId, call: ClaimCall) -> Option<ReplicaReply> {
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
                log::debug!("claim call failed: {cause}");
                None
            }
        }
    }

    /// Handles another guard's request.
    pub(crate) async fn serve(&self, call: ClaimCall) -> ClaimAnswer {
        self.inner.membership.record_reports(call.guard_report);
        let reply = self.handle(call).await;
        let guard_report = self.inner.membership.local_report();
        ClaimAnswer {
            reply,
            guard_report,
        }
    }

    /// Handles a request at this guard's replica.
    pub(crate) async fn handle(&self, call: ClaimCall) -> ReplicaReply {
        let group = self.group_of(&call.submission.key);
        let now = unix_now();
        self.inner
            .replica
            .with(move |replica| replica.handle(&call.submission, &group, call.request, now))
            .await
    }
}

/// Returns the random backoff after an attempt, counted from 0.
fn random_backoff(attempt: u32) -> Duration {
    let ceiling = BACKOFF_BASE.as_millis() as u64 * (1 << attempt.min(MAX_DOUBLINGS));
    MIN_BACKOFF + Duration::from_millis(random_u64() % ceiling)
}
