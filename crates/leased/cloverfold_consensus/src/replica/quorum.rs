//! Quorum checks.
//!
//! A leader has quorum contact if a majority of the voters, itself included, has replied recently; any other replica has it if a leader's
//! message arrived recently. A leader without quorum contact for twice `election_timeout_max` steps down: it can commit nothing, and
//! the other voters may have elected another leader.

use std::time::Duration;

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::members::ReplicaId;

/// Time without quorum contact after which a leader steps down, as a multiple of `election_timeout_max`.
const QUORUM_LOSS_TIMEOUTS: u32 = 2;

impl Replica {
    /// Returns whether this replica had quorum contact within `span`: as the leader with a majority of the voters, otherwise with a
    /// leader.
    pub fn has_quorum_contact(&self, span: Duration, now: Timestamp) -> bool {
        if self.role == Role::Leader {
            return self.count_recent_replies(span, now) >= self.members().majority();
        }
        let contact_at = self.follower_state.last_leader_contact_at;
        contact_at.is_some_and(|at| now < at + span)
    }

    /// Returns whether this replica's disk has not synced all committed entries.
    pub fn is_disk_behind(&self) -> bool {
        self.sync_progress.synced() < self.commit
    }

    /// Returns whether this leader must step down because it lacked quorum contact for too long.
    pub(super) fn has_lost_quorum(&self, now: Timestamp) -> bool {
        let span = self.config.election_timeout_max * QUORUM_LOSS_TIMEOUTS;
        now > self.leader_state.since + span && !self.has_quorum_contact(span, now)
    }

    /// Counts the voters, including this leader, that replied within `span`.
    fn count_recent_replies(&self, span: Duration, now: Timestamp) -> usize {
        let voters = self.members().voters.iter();
        voters
            .filter(|member| self.has_replied_within(member.id, span, now))
            .count()
    }

    /// Returns whether a replica replied to this leader within `span`; always `true` for the leader itself.
    pub(super) fn has_replied_within(&self, id: ReplicaId, span: Duration, now: Timestamp) -> bool {
        if id == self.id {
            return true;
        }
        let progress = self.leader_state.progress.get(&id);
        let last_reply_at = progress.and_then(|progress| progress.last_reply_at);
        last_reply_at.is_some_and(|at| now < at + span)
    }
}
