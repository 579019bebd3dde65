//! One guard's share of the replicated claims.
//!
//! For each submission key the replica group agrees on one [`Claim`], which fixes where each task may
//! start. Agreement is single-decree Paxos in memory. A replica that restarts has forgotten its votes, so
//! it votes again only for groups whose other members it has copied from ([`Replica::absorb_page`]), and
//! every reply names the incarnations it knows, so that a quorum never counts the vote of a life that has
//! ended (see [`crate::Proposer`]).

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::cell::Cell;
use crate::outcome::ReasonCode;
use crate::proposer::Proposer;
use crate::{BodyDigest, GuardId, Incarnation, Placement, SubmissionKey, TaskIndex};

/// Order of attempts to fix a claim; a larger ballot overrules a smaller one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Number of the attempt; 0 is the first choice's attempt without a prepare phase.
    pub round: u32,
    /// The guard that proposes.
    pub proposer: GuardId,
    /// The life of the guard that proposes.
    pub incarnation: Incarnation,
    /// Number of the attempt in that life, so that no two attempts share a ballot.
    pub attempt: u64,
}

impl Ballot {
    /// Tells whether this is the one attempt that needs no prepare phase.
    pub fn is_fast(&self) -> bool {
        self.round == 0
    }
}

/// What a replica group agrees on for one key: what was asked for, and where each task may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the submission's body.
    pub digest: BodyDigest,
    /// When the caller first submitted.
    pub submitted_at: UnixTime,
    /// The distinct placements that the job uses.
    pub placements: Vec<Placement>,
    /// For each task, the index of its placement in `placements`.
    pub tasks: Vec<u16>,
    /// Set when the group agreed that nothing will run under this key, and why.
    pub refusal: Option<ReasonCode>,
}

impl Claim {
    /// Returns where a task may start, if the job has such a task.
    pub fn placement_of(&self, task: TaskIndex) -> Option<Placement> {
        let index = self.tasks.get(usize::from(task))?;
        self.placements.get(usize::from(*index)).copied()
    }
}

/// A claim together with the ballot it was accepted under.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The ballot.
    pub ballot: Ballot,
    /// The claim.
    pub claim: Claim,
}

/// The identity and age of a submission, which each claim request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Key of the submission.
    pub key: SubmissionKey,
    /// When the caller first submitted.
    pub submitted_at: UnixTime,
}

/// A request to one replica about one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Asks for a promise to accept nothing below the ballot.
    Prepare(Ballot),
    /// Asks to accept a claim under a ballot.
    Accept(Accepted),
    /// Asks what is accepted, without changing anything.
    Read,
}

/// What a replica says to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The promise is given; carries what was accepted before.
    Promised(Option<Accepted>),
    /// The claim is accepted under this ballot.
    Accepted(Ballot),
    /// A ballot at least this large stands in the way.
    Rejected(Ballot),
    /// What is accepted now.
    Value(Option<Accepted>),
    /// The replica may have forgotten votes for this key and gives none.
    NotVoting,
    /// The key is older than the retention.
    Expired,
}

/// The newest life known of each guard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnations(BTreeMap<GuardId, Incarnation>);

impl Incarnations {
    /// Returns the newest life known of a guard, 0 when none is known.
    pub fn newest(&self, guard: GuardId) -> Incarnation {
        self.0.get(&guard).copied().unwrap_or(0)
    }

    /// Notes a life of a guard; an older one than known changes nothing.
    pub fn note(&mut self, guard: GuardId, incarnation: Incarnation) {
        let known = self.0.entry(guard).or_insert(incarnation);
        *known = (*known).max(incarnation);
    }

    /// Returns the part that concerns the given guards.
    pub fn restrict_to(&self, guards: &[GuardId]) -> Self {
        let known = guards
            .iter()
            .filter_map(|guard| Some((*guard, *self.0.get(guard)?)));
        Self(known.collect())
    }
}

/// A [`ClaimReply`] with who gives it and which lives that replica knows of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The replica that replies, in its present life.
    pub from: Placement,
    /// The newest lives that the replica knows of in the group.
    pub known: Incarnations,
    /// The reply itself.
    pub body: ClaimReply,
}

/// What a replica holds for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Largest ballot promised or accepted.
    pub promised: Ballot,
    /// The claim accepted last.
    pub accepted: Option<Accepted>,
    /// When the caller first submitted; the record is kept for the retention after it.
    pub submitted_at: UnixTime,
}

/// Whether a replica's memory covers all votes that its guard ever gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    /// Nothing can have been forgotten.
    Whole,
    /// Votes of an earlier life may be missing, but for groups covered by these whole sources.
    Recovering {
        /// Guards that were whole and whose records have all been copied.
        whole_sources: BTreeSet<GuardId>,
    },
}

/// One page of a replica's records, sent to a restarted member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryPage {
    /// The life of the asking guard that the source knows; larger than asked with means "ask again".
    pub known_incarnation: Incarnation,
    /// How whole the source itself is.
    pub standing: Standing,
    /// Records whose group contains the asking guard, in the order of their keys.
    pub records: Vec<(SubmissionKey, ReplicaRecord)>,
    /// Whether records remain after these.
    pub has_more: bool,
}

/// How long records are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Keeping {
    retention: Duration,
    /// Allowance for clocks that disagree.
    margin: Duration,
}

/// One guard's records of claims, its incarnation and its standing.
#[derive(Clone, Debug)]
pub struct Replica {
    own: Placement,
    started_at: UnixTime,
    keeping: Keeping,
    standing: Standing,
    /// How whole each source was when copying from it ended.
    sources: BTreeMap<GuardId, Standing>,
    known: Incarnations,
    records: BTreeMap<SubmissionKey, ReplicaRecord>,
}

impl Replica {
    /// Starts a life of a replica, which is recovering until it has copied, been founded, or waited.
    pub fn new(
        own: Placement,
        started_at: UnixTime,
        retention: Duration,
        margin: Duration,
    ) -> Self {
        let mut known = Incarnations::default();
        known.note(own.guard, own.incarnation);
        Self {
            own,
            started_at,
            keeping: Keeping { retention, margin },
            standing: Standing::Recovering {
                whole_sources: BTreeSet::new(),
            },
            sources: BTreeMap::new(),
            known,
            records: BTreeMap::new(),
        }
    }

    /// Returns the guard and its present life.
    pub fn own(&self) -> Placement {
        self.own
    }

    /// Returns the newest lives known.
    pub fn known(&self) -> &Incarnations {
        &self.known
    }

    /// Returns how whole the replica's memory is.
    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// Returns the number of records held.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Tells whether a record of the key is held.
    pub fn holds(&self, key: &SubmissionKey) -> bool {
        self.records.contains_key(key)
    }

    /// Notes that a guard is in a given life.
    pub fn note_incarnation(&mut self, guard: GuardId, incarnation: Incarnation) {
        self.known.note(guard, incarnation);
    }

    /// Declares a first life whole, because the operator founds the cell with exactly these lives.
    ///
    /// Returns whether the replica is whole afterwards.
    pub fn found(&mut self, lives: &[Placement]) -> bool {
        if lives.contains(&self.own) && self.known.newest(self.own.guard) == self.own.incarnation {
            self.standing = Standing::Whole;
        }
        self.standing == Standing::Whole
    }

    /// Becomes whole once every vote that an earlier life can have given has passed its retention.
    pub fn become_whole_by_age(&mut self, now: UnixTime) {
        let forgotten_until = self.started_at + self.keeping.retention + self.keeping.margin;
        if now >= forgotten_until {
            self.standing = Standing::Whole;
        }
    }

    /// Tells whether the replica may vote on keys of a group that it belongs to.
    pub fn can_vote(&self, group: &[GuardId]) -> bool {
        if self.standing == Standing::Whole {
            return true;
        }
        let covers = |member: &&GuardId| {
            let source = self.sources.get(*member);
            source.is_some_and(|standing| covers_group(standing, **member, group))
        };
        group.iter().filter(covers).count() >= sources_needed(group.len())
    }

    /// Answers a request about a key.
    pub fn handle(
        &mut self,
        submission: &Submission,
        group: &[GuardId],
        req: ClaimRequest,
        now: UnixTime,
    ) -> Reply {
        let body = if self.can_vote(group) {
            self.decide(submission, req, now)
        } else {
            ClaimReply::NotVoting
        };
        Reply {
            from: self.own,
            known: self.known.restrict_to(group),
            body,
        }
    }

    /// Begins the fast attempt, if this replica is the first choice for the key and holds nothing of it.
    ///
    /// The replica votes for its own claim before anybody else hears of it. So there is one fast attempt for
    /// a key in a life, and in a later life the copied records show whether it can have succeeded.
    pub fn propose_fast(
        &mut self,
        submission: &Submission,
        group: &[GuardId],
        attempt: u64,
        claim: Claim,
        now: UnixTime,
    ) -> Option<Proposer> {
        let is_first_choice = group.first() == Some(&self.own.guard);
        if !is_first_choice || self.holds(&submission.key) || !self.can_vote(group) {
            return None;
        }
        let proposer = Proposer::fast(group.to_vec(), self.own, attempt, claim);
        let reply = self.handle(submission, group, proposer.request(), now);
        matches!(reply.body, ClaimReply::Accepted(_)).then_some(proposer)
    }

    fn decide(&mut self, submission: &Submission, req: ClaimRequest, now: UnixTime) -> ClaimReply {
        let held = self.records.get(&submission.key);
        let is_new = held.is_none() && req != ClaimRequest::Read;
        if is_new && now >= submission.submitted_at + self.keeping.retention {
            return ClaimReply::Expired;
        }
        match req {
            ClaimRequest::Read => ClaimReply::Value(held.and_then(|one| one.accepted.clone())),
            ClaimRequest::Prepare(ballot) => self.promise(submission, ballot),
            ClaimRequest::Accept(accepted) => self.accept(submission, accepted),
        }
    }

    fn promise(&mut self, submission: &Submission, ballot: Ballot) -> ClaimReply {
        let record = self.records.entry(submission.key);
        let record = record.or_insert_with(|| ReplicaRecord {
            promised: ballot,
            accepted: None,
            submitted_at: submission.submitted_at,
        });
        if record.promised > ballot {
            return ClaimReply::Rejected(record.promised);
        }
        record.promised = ballot;
        ClaimReply::Promised(record.accepted.clone())
    }

    fn accept(&mut self, submission: &Submission, accepted: Accepted) -> ClaimReply {
        let ballot = accepted.ballot;
        match self.records.get_mut(&submission.key) {
            // The fast ballot skipped the prepare phase, so it is good only where nothing stands.
            Some(record) if ballot.is_fast() && record.promised != ballot => {
                ClaimReply::Rejected(record.promised)
            }
            Some(record) if record.promised > ballot => ClaimReply::Rejected(record.promised),
            Some(record) => {
                record.promised = ballot;
                record.accepted = Some(accepted);
                ClaimReply::Accepted(ballot)
            }
            None => {
                let record = ReplicaRecord {
                    promised: ballot,
                    submitted_at: submission.submitted_at,
                    accepted: Some(accepted),
                };
                self.records.insert(submission.key, record);
                ClaimReply::Accepted(ballot)
            }
        }
    }

    /// Serves one page of records to a restarted member, noting its new life first.
    ///
    /// From here on every vote of this replica names the new life, so that no quorum can still count a vote
    /// of the old one that the copy missed.
    pub fn serve_page(
        &mut self,
        asking: Placement,
        after: Option<SubmissionKey>,
        limit: usize,
        cell: &Cell,
    ) -> RecoveryPage {
        self.known.note(asking.guard, asking.incarnation);
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut shared = self
            .records
            .range((lower, Bound::Unbounded))
            .filter(|(key, _)| cell.choose_replica_group(key).contains(&asking.guard));
        let records: Vec<_> = shared
            .by_ref()
            .take(limit)
            .map(|(key, record)| (*key, record.clone()))
            .collect();
        let has_more = shared.next().is_some();
        RecoveryPage {
            known_incarnation: self.known.newest(asking.guard),
            standing: self.standing.clone(),
            records,
            has_more,
        }
    }

    /// Takes in one page from a source; the last page makes the source count.
    ///
    /// `standing` is what the source said on its first page.
    pub fn absorb_page(&mut self, source: GuardId, standing: Standing, page: RecoveryPage) {
        for (key, record) in page.records {
            self.absorb_record(key, record);
        }
        if !page.has_more {
            self.count_source(source, standing);
        }
    }

    fn absorb_record(&mut self, key: SubmissionKey, record: ReplicaRecord) {
        let held = self.records.entry(key).or_insert_with(|| record.clone());
        held.promised = held.promised.max(record.promised);
        let is_newer = match (&held.accepted, &record.accepted) {
            (Some(own), Some(other)) => other.ballot > own.ballot,
            (None, Some(_)) => true,
            _ => false,
        };
        if is_newer {
            held.accepted = record.accepted;
        }
    }

    fn count_source(&mut self, source: GuardId, standing: Standing) {
        if let Standing::Recovering { whole_sources } = &mut self.standing
            && standing == Standing::Whole
        {
            whole_sources.insert(source);
        }
        self.sources.insert(source, standing);
    }

    /// Becomes whole when every other guard of the cell was whole and has been copied from.
    pub fn become_whole_by_copy(&mut self, cell: &Cell) {
        let is_copied = |guard: GuardId| {
            guard == self.own.guard || self.sources.get(&guard) == Some(&Standing::Whole)
        };
        if cell.locations().iter().all(|place| is_copied(place.guard)) {
            self.standing = Standing::Whole;
        }
    }

    /// Lists the guards that have not been copied from while whole.
    pub fn missing_sources(&self, cell: &Cell) -> Vec<GuardId> {
        let others = cell.locations().iter().map(|place| place.guard);
        others
            .filter(|guard| *guard != self.own.guard)
            .filter(|guard| self.sources.get(guard) != Some(&Standing::Whole))
            .collect()
    }

    /// Drops the records whose retention, with its margin, has passed; returns how many.
    pub fn collect_expired_records(&mut self, now: UnixTime) -> usize {
        let before = self.records.len();
        let kept_for = self.keeping.retention + self.keeping.margin;
        self.records
            .retain(|_, record| now < record.submitted_at + kept_for);
        before - self.records.len()
    }
}

/// How many other members must be copied from so that every quorum the old life voted in is met.
fn sources_needed(group_len: usize) -> usize {
    group_len - crate::quorum_of(group_len) + 1
}

fn covers_group(standing: &Standing, source: GuardId, group: &[GuardId]) -> bool {
    match standing {
        Standing::Whole => true,
        Standing::Recovering { whole_sources } => {
            let others = group.iter().filter(|member| **member != source);
            let covered = others.filter(|member| whole_sources.contains(member));
            covered.count() >= sources_needed(group.len())
        }
    }
}
