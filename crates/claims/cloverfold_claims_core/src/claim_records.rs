//! Acceptor state of a replica for each key, and the rules of voting.
//!
//! [`Records`] knows neither groups nor incarnations: [`crate::ClaimReplica`] checks first whether the replica may
//! vote.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::SubmissionKey;
use crate::claim::{Accepted, Ballot, ClaimReply, ClaimRequest, Submission};

/// Acceptor state for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Largest promised or accepted ballot.
    pub promised: Ballot,
    /// The claim that was accepted last.
    pub accepted: Option<Accepted>,
    /// Time of the caller's first submission, from which the retention counts.
    pub submitted_at: UnixTime,
}

/// How long records are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordRetention {
    /// How long a key is kept after its first submission.
    pub(crate) retention: Duration,
    /// Tolerated clock skew.
    pub(crate) margin: Duration,
}

impl RecordRetention {
    /// Returns how long a record is kept after its first submission, with the clock skew.
    pub(crate) fn total(self) -> Duration {
        self.retention + self.margin
    }
}

/// The records of one replica, in key order.
#[derive(Clone, Debug)]
pub(crate) struct Records {
    record_retention: RecordRetention,
    by_key: BTreeMap<SubmissionKey, ReplicaRecord>,
}

impl Records {
    pub(crate) fn new(record_retention: RecordRetention) -> Self {
        Self {
            record_retention,
            by_key: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn contains(&self, key: &SubmissionKey) -> bool {
        self.by_key.contains_key(key)
    }

    /// Votes on a request according to single-decree Paxos.
    ///
    /// A key past its retention gets no new record, because an earlier one may have been dropped.
    pub(crate) fn vote(
        &mut self,
        submission: &Submission,
        req: ClaimRequest,
        now: UnixTime,
    ) -> ClaimReply {
        let known = self.by_key.get(&submission.key);
        let is_new = known.is_none() && req != ClaimRequest::Read;
        if is_new && now >= submission.submitted_at + self.record_retention.retention {
            return ClaimReply::Expired;
        }
        match req {
            ClaimRequest::Read => ClaimReply::Value(known.and_then(|known| known.accepted.clone())),
            ClaimRequest::Prepare(ballot) => self.promise(submission, ballot),
            ClaimRequest::Accept(accepted) => self.accept(submission, accepted),
        }
    }

    fn promise(&mut self, submission: &Submission, ballot: Ballot) -> ClaimReply {
        let record = self.by_key.entry(submission.key);
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
        match self.by_key.get_mut(&submission.key) {
            // A fast ballot has no prepare phase, so it is valid only if nothing was promised before.
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
                self.by_key.insert(submission.key, record);
                ClaimReply::Accepted(ballot)
            }
        }
    }

    /// Returns up to `limit` records after a key whose keys match `filter`, and whether more follow.
    pub(crate) fn list_page(
        &self,
        after: Option<SubmissionKey>,
        limit: usize,
        filter: impl Fn(&SubmissionKey) -> bool,
    ) -> (Vec<(SubmissionKey, ReplicaRecord)>, bool) {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut matching = self
            .by_key
            .range((lower, Bound::Unbounded))
            .filter(|(key, _)| filter(key));
        let page = matching
            .by_ref()
            .take(limit)
            .map(|(key, record)| (*key, record.clone()))
            .collect();
        let has_more = matching.next().is_some();
        (page, has_more)
    }

    /// Merges a record of another replica; the larger ballot wins.
    pub(crate) fn merge(&mut self, key: SubmissionKey, record: ReplicaRecord) {
        let existing = self.by_key.entry(key).or_insert_with(|| record.clone());
        existing.promised = existing.promised.max(record.promised);
        let is_newer = match (&existing.accepted, &record.accepted) {
            (Some(own), Some(other)) => other.ballot > own.ballot,
            (None, Some(_)) => true,
            _ => false,
        };
        if is_newer {
            existing.accepted = record.accepted;
        }
    }

    /// Drops the records past their retention and the clock skew; returns how many.
    pub(crate) fn drop_expired(&mut self, now: UnixTime) -> usize {
        let before = self.by_key.len();
        let kept_for = self.record_retention.total();
        self.by_key
            .retain(|_, record| now < record.submitted_at + kept_for);
        before - self.by_key.len()
    }
}
