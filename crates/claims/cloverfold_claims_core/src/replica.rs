//! One guard's replica of the claims: the acceptor of the agreement on each key.
//!
//! For each submission key the replica group agrees on one [`crate::Claim`], which fixes where each task may
//! start. Agreement is single-decree Paxos in memory (docs/design/2-claims-and-fence.md). A replica that restarts
//! has forgotten its votes, so it votes again only for groups whose other members it has copied from
//! ([`ClaimReplica::merge_page`]), and every reply names the incarnations it knows, so that a quorum never counts
//! a vote of an incarnation that has ended (see [`crate::Proposer`]).
//!
//! Owns the records of this guard ([`Records`]), its standing, and the incarnations that it knows. Relies on the
//! caller for the group of a key ([`Cell::choose_replica_group`]) and for the time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::UnixTime;

use crate::cell::Cell;
use crate::claim::{Claim, ClaimReply, ClaimRequest, ReplicaReply, Submission};
use crate::claim_records::{Keeping, Records};
use crate::incarnations::Incarnations;
use crate::proposer::Proposer;
use crate::recovery_state::{RecoveryPage, RecoveryState, count_needed_sources};
use crate::{GuardId, Placement, SubmissionKey};

/// One guard's records of claims, its incarnation and its standing.
#[derive(Clone, Debug)]
pub struct ClaimReplica {
    own: Placement,
    started_at: UnixTime,
    keeping: Keeping,
    recovery_state: RecoveryState,
    /// Recovery state of each source when copying from it ended.
    sources: BTreeMap<GuardId, RecoveryState>,
    known: Incarnations,
    records: Records,
}

impl ClaimReplica {
    /// Starts a replica that is recovering until it has copied, been founded, or waited.
    ///
    /// `retention` is how long a key is known after its first submission; `margin` is added to it for clocks that
    /// disagree.
    pub fn new(
        own: Placement,
        started_at: UnixTime,
        retention: Duration,
        margin: Duration,
    ) -> Self {
        let mut known = Incarnations::default();
        known.record(own.guard, own.incarnation);
        let keeping = Keeping { retention, margin };
        Self {
            own,
            started_at,
            keeping,
            recovery_state: RecoveryState::Recovering {
                whole_sources: BTreeSet::new(),
            },
            sources: BTreeMap::new(),
            known,
            records: Records::new(keeping),
        }
    }

    /// Returns the guard and its present incarnation.
    pub fn placement(&self) -> Placement {
        self.own
    }

    /// Returns the newest incarnations known.
    pub fn known_incarnations(&self) -> &Incarnations {
        &self.known
    }

    /// Returns whether the replica's memory is whole, and what covers it if not.
    pub fn recovery_state(&self) -> &RecoveryState {
        &self.recovery_state
    }

    /// Returns the number of records held.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns whether a record of the key is held.
    pub fn has_record(&self, key: &SubmissionKey) -> bool {
        self.records.contains(key)
    }

    /// Becomes whole without a copy if this is its first incarnation: the operator founds the cell with exactly
    /// these.
    ///
    /// Returns whether the replica is whole afterwards.
    pub fn bootstrap(&mut self, first: &[Placement]) -> bool {
        if first.contains(&self.own) && self.known.newest(self.own.guard) == self.own.incarnation {
            self.recovery_state = RecoveryState::Whole;
        }
        self.recovery_state == RecoveryState::Whole
    }

    /// Becomes whole once every vote that an earlier incarnation can have given has passed its retention.
    pub fn mark_whole_after_retention(&mut self, now: UnixTime) {
        let forgotten_until = self.started_at + self.keeping.span();
        if now >= forgotten_until {
            self.recovery_state = RecoveryState::Whole;
        }
    }

    /// Returns whether the replica may vote on keys of a group that it belongs to.
    pub fn can_vote(&self, group: &[GuardId]) -> bool {
        if self.recovery_state == RecoveryState::Whole {
            return true;
        }
        let covers = |member: &&GuardId| {
            let source = self.sources.get(*member);
            source.is_some_and(|standing| standing.covers_group(**member, group))
        };
        group.iter().filter(covers).count() >= count_needed_sources(group.len())
    }

    /// Answers a request about a key.
    pub fn handle(
        &mut self,
        submission: &Submission,
        group: &[GuardId],
        req: ClaimRequest,
        now: UnixTime,
    ) -> ReplicaReply {
        let body = if self.can_vote(group) {
            self.records.vote(submission, req, now)
        } else {
            ClaimReply::NotVoting
        };
        ReplicaReply {
            from: self.own,
            known: self.known.restrict_to(group),
            body,
        }
    }

    /// Begins the fast attempt, if this replica is the first choice for the key and holds nothing of it.
    ///
    /// The replica votes for its own claim before it sends anything. So there is one fast attempt for a key
    /// in an incarnation, and a later incarnation sees in the copied records whether it can have succeeded.
    pub fn propose_fast(
        &mut self,
        submission: &Submission,
        group: &[GuardId],
        attempt: u64,
        claim: Claim,
        now: UnixTime,
    ) -> Option<Proposer> {
        let is_first_choice = group.first() == Some(&self.own.guard);
        if !is_first_choice || self.has_record(&submission.key) || !self.can_vote(group) {
            return None;
        }
        let proposer = Proposer::fast(group.to_vec(), self.own, attempt, claim);
        let reply = self.handle(submission, group, proposer.request(), now);
        matches!(reply.body, ClaimReply::Accepted(_)).then_some(proposer)
    }
    /// Serves one page of records to a restarted member, after recording its new incarnation.
    ///
    /// From here on every vote of this replica names the new incarnation, so that no quorum can still count a vote
    /// of the earlier one that the copy missed.
    pub fn serve_page(
        &mut self,
        asking: Placement,
        after: Option<SubmissionKey>,
        limit: usize,
        cell: &Cell,
    ) -> RecoveryPage {
        self.known.record(asking.guard, asking.incarnation);
        let is_shared =
            |key: &SubmissionKey| cell.choose_replica_group(key).contains(&asking.guard);
        let (records, has_more) = self.records.list_page(after, limit, is_shared);
        RecoveryPage {
            known_incarnation: self.known.newest(asking.guard),
            standing: self.recovery_state.clone(),
            records,
            has_more,
        }
    }

    /// Merges one page of a source; the last page makes the source count.
    ///
    /// `standing` is the source's standing on its first page.
    pub fn merge_page(&mut self, source: GuardId, standing: RecoveryState, page: RecoveryPage) {
        for (key, record) in page.records {
            self.records.merge(key, record);
        }
        if !page.has_more {
            self.count_source(source, standing);
        }
    }

    fn count_source(&mut self, source: GuardId, standing: RecoveryState) {
        if let RecoveryState::Recovering { whole_sources } = &mut self.recovery_state
            && standing == RecoveryState::Whole
        {
            whole_sources.insert(source);
        }
        self.sources.insert(source, standing);
    }

    /// Becomes whole when every other guard of the cell was whole and has been copied from.
    pub fn mark_whole_after_copy(&mut self, cell: &Cell) {
        let is_copied = |guard: GuardId| {
            guard == self.own.guard || self.sources.get(&guard) == Some(&RecoveryState::Whole)
        };
        if cell.locations().iter().all(|place| is_copied(place.guard)) {
            self.recovery_state = RecoveryState::Whole;
        }
    }

    /// Lists the guards that have not been copied from while whole.
    pub fn missing_sources(&self, cell: &Cell) -> Vec<GuardId> {
        let others = cell.locations().iter().map(|place| place.guard);
        others
            .filter(|guard| *guard != self.own.guard)
            .filter(|guard| self.sources.get(guard) != Some(&RecoveryState::Whole))
            .collect()
    }

    /// Drops the records whose retention, with its margin, has passed; returns how many.
    pub fn drop_expired_records(&mut self, now: UnixTime) -> usize {
        self.records.drop_expired(now)
    }
}
