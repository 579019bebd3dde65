//! Recovery state of a replica.
//!
//! A replica keeps its votes in memory only and loses them in a restart. A recovering replica votes only in groups in
//! which it has copied the records of enough other members.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::claim_records::ReplicaRecord;
use crate::{GuardId, Incarnation, SubmissionKey, quorum_of};

/// Whether a replica's records cover all votes of its guard, including those of earlier incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecoveryState {
    /// The records are complete.
    Whole,
    /// Votes of an earlier incarnation may be missing, except in groups that the copied sources cover.
    Recovering {
        /// Guards with complete records that have been copied entirely.
        whole_sources: BTreeSet<GuardId>,
    },
}

/// One page of a replica's records, sent to a restarted member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryPage {
    /// The newest incarnation of the requesting guard that the source knows. If it is larger than that of the
    /// request, the page must not be used.
    pub known_incarnation: Incarnation,
    /// Recovery state of the source.
    pub standing: RecoveryState,
    /// Records whose group contains the requesting guard, in key order.
    pub records: Vec<(SubmissionKey, ReplicaRecord)>,
    /// Whether more pages follow.
    pub has_more: bool,
}

impl RecoveryState {
    /// Returns whether the copied records of a source in this state include every vote that the source gave in a group.
    pub(crate) fn covers_group(&self, source: GuardId, group: &[GuardId]) -> bool {
        match self {
            Self::Whole => true,
            Self::Recovering { whole_sources } => {
                let others = group.iter().filter(|member| **member != source);
                let covered = others.filter(|member| whole_sources.contains(member));
                covered.count() >= count_needed_sources(group.len())
            }
        }
    }
}

/// Returns how many other members must be copied so that they intersect every quorum in which an earlier incarnation
/// voted.
pub(crate) fn count_needed_sources(group_len: usize) -> usize {
    group_len - quorum_of(group_len) + 1
}
