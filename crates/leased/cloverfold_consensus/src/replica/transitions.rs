//! Transitions to the leader and follower roles.

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::log_entries::{Payload, Term};
use crate::members::ReplicaId;

impl Replica {
    /// Becomes leader and appends an empty entry, because entries of earlier terms are committed only with one of the current term.
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leader_state.since = now;
        self.leader_state.progress.clear();
        self.track_progress();
        self.append_entry(Payload::Empty, now);
    }

    /// Steps down so that another replica can be elected; entries already appended may still be committed. Does nothing on a replica that
    /// does not lead.
    pub fn step_down(&mut self, now: Timestamp) {
        if self.role == Role::Leader {
            self.become_follower(self.term, None, now);
        }
    }

    /// Becomes a follower, and advances to `term` if that is later than the current one.
    pub(super) fn become_follower(
        &mut self,
        term: Term,
        leader: Option<ReplicaId>,
        now: Timestamp,
    ) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.follower_state.match_index = 0;
            self.follower_state.partial_snapshot = None;
            self.write_hard_state();
        }
        if self.role == Role::Leader {
            self.fail_reads();
            self.leader_state.progress.clear();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.election_timer.restart(now);
    }
}
