//! The acceptor of a guard: its replica of the claims.
//!
//! For each submission key the replica group agrees on one [`crate::Claim`], which fixes where each task may start.
//! The protocol is single-decree Paxos with acceptor state in memory only. A restarted replica has lost its votes, so
//! it votes only in groups whose other members it has copied ([`ClaimReplica::merge_page`]). Every reply contains the
//! incarnations that the replica knows, so that a quorum never counts a vote of an incarnation that has ended (see
//! [`crate::Proposer`]).
//!
//! The caller provides the replica group of a key ([`Cell::choose_replica_group`]) and the time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cloverfold_base::UnixTime;

use crate::cell::Cell;
use crate::claim::{Claim, ClaimReply, ClaimRequest, ReplicaReply, Submission};
use crate::claim_records::{RecordRetention, Records};
use crate::incarnations::Incarnations;
use crate::proposer::Proposer;
use crate::recovery_state::{RecoveryPage, RecoveryState, count_needed_sources};
use crate::{GuardId, Placement, SubmissionKey};

/// One guard's acceptor: its records, its incarnation and its recovery state.
#[derive(Clone, Debug)]
pub struct ClaimReplica {
    own: Placement,
    started_at: UnixTime,
    record_retention: RecordRetention,
    recovery_state: RecoveryState,
    /// Recovery state that each copied source reported on its first page.
    sources: BTreeMap<GuardId, RecoveryState>,
    known: Incarnations,
    records: Records,
}

impl ClaimReplica {
    /// Creates a recovering replica.
    ///
    /// It becomes complete by copying the other guards, by the bootstrap of the cell, or once the retention has passed.
    /// `retention` is how long a key is kept after its first submission; `margin` is the tolerated clock skew.
    pub fn new(
        own: Placement,
        started_at: UnixTime,
        retention: Duration,
        margin: Duration,
    ) -> Self {
        let mut known = Incarnations::default();
        known.record(own.guard, own.incarnation);
        let record_retention = RecordRetention { retention, margin };
        Self {
            own,
            started_at,
            record_retention,
            recovery_state: RecoveryState::Recovering {
                whole_sources: BTreeSet::new(),
            },
            sources: BTreeMap::new(),
            known,
            records: Records::new(record_retention),
        }
    }

    /// Returns the guard and its current incarnation.
    pub fn placement(&self) -> Placement {
        self.own
    }

    /// Returns the newest known incarnations.
    pub fn known_incarnations(&self) -> &Incarnations {
        &self.known
    }

    /// Returns whether the records are complete, and which complete sources have been copied if not.
    pub fn recovery_state(&self) -> &RecoveryState {
        &self.recovery_state
    }

    /// Returns the number of records.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is a record of the key.
    pub fn has_record(&self, key: &SubmissionKey) -> bool {
        self.records.contains(key)
    }

    /// Marks the records as complete if this incarnation is one of those with which the operator bootstraps the cell.
    ///
    /// Returns whether the records are complete afterwards.
    pub fn bootstrap(&mut self, first_incarnations: &[Placement]) -> bool {
        if first_incarnations.contains(&self.own)
            && self.known.newest(self.own.guard) == self.own.incarnation
        {
            self.recovery_state = RecoveryState::Whole;
        }
        self.recovery_state == RecoveryState::Whole
    }

    /// Marks the records as complete once all votes of earlier incarnations are past their retention.
    pub fn mark_whole_after_retention(&mut self, now: UnixTime) {
        let votes_expire_at = self.started_at + self.record_retention.total();
        if now >= votes_expire_at {
            self.recovery_state = RecoveryState::Whole;
        }
    }

    /// Returns whether the replica may vote on keys of a group of which it is a member.
    pub fn can_vote(&self, group: &[GuardId]) -> bool {
        if self.recovery_state == RecoveryState::Whole {
            return true;
        }
        let covers = |member: &&GuardId| {
            let source = self.sources.get(*member);
            source.is_some_and(|state| state.covers_group(**member, group))
        };
        group.iter().filter(covers).count() >= count_needed_sources(group.len())
    }

    /// Handles a request about a key.
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

    /// Starts the fast round if this replica is the preferred proposer of the key and has no record of it.
    ///
    /// The replica accepts its own claim before it sends the request. Each incarnation therefore makes at most one fast
    /// proposal for a key, and a later incarnation sees in the copied records whether that one can have succeeded.
    pub fn propose_fast(
        &mut self,
        submission: &Submission,
        group: &[GuardId],
        attempt: u64,
        claim: Claim,
        now: UnixTime,
    ) -> Option<Proposer> {
        let is_preferred_proposer = group.first() == Some(&self.own.guard);
        if !is_preferred_proposer || self.has_record(&submission.key) || !self.can_vote(group) {
            return None;
        }
        let proposer = Proposer::fast(group.to_vec(), self.own, attempt, claim);
        let reply = self.handle(submission, group, proposer.request(), now);
        matches!(reply.body, ClaimReply::Accepted(_)).then_some(proposer)
    }

    /// Records the new incarnation of a restarted member and returns one page of records for it.
    ///
    /// All later replies contain the new incarnation, so that no quorum counts a vote of the earlier incarnation that
    /// the copy does not include.
    pub fn serve_page(
        &mut self,
        requester: Placement,
        after: Option<SubmissionKey>,
        limit: usize,
        cell: &Cell,
    ) -> RecoveryPage {
        self.known.record(requester.guard, requester.incarnation);
        let is_shared =
            |key: &SubmissionKey| cell.choose_replica_group(key).contains(&requester.guard);
        let (records, has_more) = self.records.list_page(after, limit, is_shared);
        RecoveryPage {
            known_incarnation: self.known.newest(requester.guard),
            standing: self.recovery_state.clone(),
            records,
            has_more,
        }
    }

    /// Merges one page of a source; after the last page the source counts as copied.
    ///
    /// `standing` is the source's recovery state on its first page.
    pub fn merge_page(&mut self, source: GuardId, standing: RecoveryState, page: RecoveryPage) {
        for (key, record) in page.records {
            self.records.merge(key, record);
        }
        if !page.has_more {
            self.record_source(source, standing);
        }
    }

    fn record_source(&mut self, source: GuardId, standing: RecoveryState) {
        if let RecoveryState::Recovering { whole_sources } = &mut self.recovery_state
            && standing == RecoveryState::Whole
        {
            whole_sources.insert(source);
        }
        self.sources.insert(source, standing);
    }

    /// Marks the records as complete once every other guard of the cell has been copied with complete records.
    pub fn mark_whole_after_copy(&mut self, cell: &Cell) {
        let is_copied = |guard: GuardId| {
            guard == self.own.guard || self.sources.get(&guard) == Some(&RecoveryState::Whole)
        };
        if cell.locations().iter().all(|place| is_copied(place.guard)) {
            self.recovery_state = RecoveryState::Whole;
        }
    }

    /// Returns the guards that have not been copied with complete records.
    pub fn missing_sources(&self, cell: &Cell) -> Vec<GuardId> {
        let others = cell.locations().iter().map(|place| place.guard);
        others
            .filter(|guard| *guard != self.own.guard)
            .filter(|guard| self.sources.get(guard) != Some(&RecoveryState::Whole))
            .collect()
    }

    /// Drops the records past their retention and the clock skew; returns how many.
    pub fn drop_expired_records(&mut self, now: UnixTime) -> usize {
        self.records.drop_expired(now)
    }
}
