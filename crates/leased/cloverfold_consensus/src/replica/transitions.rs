//! What changes when a replica becomes leader or follower.
//!
//! The only place where a replica becomes leader or follower after its start. Changes the replica's role, term, vote and election timer and
//! owns no state besides. Relies on `election` and the handlers of messages to decide when a role changes.

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::log_entries::{Payload, Term};
use crate::members::ReplicaId;

impl Replica {
    /// Begins to lead; the first entry of the term is empty, since earlier ones are committed only with one of the own term.
    pub(super) fn become_leader(&mut self, now: Timestamp) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.leading.since = now;
        self.leading.progress.clear();
        self.track_progress();
        self.append_entry(Payload::Empty, now);
    }

    /// Stops to lead, so that another replica is elected; what was appended may be committed yet. Does nothing on any other replica.
    pub fn step_down(&mut self, now: Timestamp) {
        if self.role == Role::Leader {
            self.become_follower(self.term, None, now);
        }
    }

    /// Becomes a follower, in a later term if `term` is one.
    pub(super) fn become_follower(
        &mut self,
        term: Term,
        leader: Option<ReplicaId>,
        now: Timestamp,
    ) {
        if term > self.term {
            self.term = term;
            self.voted_for = None;
            self.following.matched = 0;
            self.following.partial = None;
            self.write_hard_state();
        }
        if self.role == Role::Leader {
            self.fail_reads();
            self.leading.progress.clear();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.election_timer.restart(now);
    }
}
