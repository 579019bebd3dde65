//! Decision: whether this replica is in contact with a majority of the voters.
//!
//! Rule: a leader has contact if a majority, itself included, answered within a span; every other replica if it heard a leader within
//! it. A leader without contact for twice `election_max` stops leading.
//!
//! Inputs: when each voter last answered and when a leader was last heard (steady clock), the span (ms).
//!
//! Reason: a leader that is cut off can commit nothing, and the others have elected another by then; it must not go on to answer.

use std::time::Duration;

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::members::ReplicaId;

/// Longest election timeouts without a majority after which a leader stops leading. Chosen, not measured.
const QUORUM_LOSS_TIMEOUTS: u32 = 2;

impl Replica {
    /// Returns whether this replica was in contact with its group within `span`: a leader with a majority of the voters, any other
    /// replica with the leader.
    pub fn has_quorum_contact(&self, span: Duration, now: Timestamp) -> bool {
        if self.role == Role::Leader {
            return self.count_heard_within(span, now) >= self.members().majority();
        }
        let heard_at = self.following.heard_leader_at;
        heard_at.is_some_and(|at| now < at + span)
    }

    /// Returns whether this leader has had no majority for so long that it must stop leading.
    pub(super) fn has_lost_quorum(&self, now: Timestamp) -> bool {
        let span = self.config.election_max * QUORUM_LOSS_TIMEOUTS;
        now > self.leading.since + span && !self.has_quorum_contact(span, now)
    }

    /// Counts the voters, this one included, that answered this leader within `span`.
    fn count_heard_within(&self, span: Duration, now: Timestamp) -> usize {
        let voters = self.members().voters.iter();
        voters
            .filter(|member| self.is_heard_within(member.id, span, now))
            .count()
    }

    /// Returns whether a replica answered this leader within `span`; always true of the leader itself.
    pub(super) fn is_heard_within(&self, id: ReplicaId, span: Duration, now: Timestamp) -> bool {
        if id == self.id {
            return true;
        }
        let progress = self.leading.progress.get(&id);
        let heard_at = progress.and_then(|progress| progress.heard_at);
        heard_at.is_some_and(|at| now < at + span)
    }
}
