//! Whether a restarted replica can have forgotten votes, and what covers what it forgot.
//!
//! A replica has no disk. Its memory is whole when nothing can be missing; else it votes only for groups in which
//! enough other members have been copied from.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::claim_records::ReplicaRecord;
use crate::{GuardId, Incarnation, SubmissionKey, quorum_of};

/// Whether a replica's memory covers all votes that its guard ever gave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecoveryState {
    /// Nothing can have been forgotten.
    Whole,
    /// Votes of an earlier incarnation may be missing, but for groups covered by these whole sources.
    Recovering {
        /// Guards that were whole and whose records have all been copied.
        whole_sources: BTreeSet<GuardId>,
    },
}

/// One page of a replica's records, sent to a restarted member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecoveryPage {
    /// The incarnation of the asking guard that the source knows; if it is larger than the one that asked, the
    /// page must not be used.
    pub known_incarnation: Incarnation,
    /// The standing of the source itself.
    pub standing: RecoveryState,
    /// Records whose group contains the asking guard, in the order of their keys.
    pub records: Vec<(SubmissionKey, ReplicaRecord)>,
    /// Whether records remain after these.
    pub has_more: bool,
}
impl RecoveryState {
    /// Returns whether records of the group's keys that were copied from a source of this standing are all that
    /// the source ever voted on.
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

/// Returns how many other members must be copied from so that every quorum that the earlier incarnation voted in
/// has a member among them.
pub(crate) fn count_needed_sources(group_len: usize) -> usize {
    group_len - quorum_of(group_len) + 1
}
