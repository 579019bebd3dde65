//! Automatic membership changes, so that the group replaces a lost voter before it loses another.
//!
//! The leader changes one voter at a time, so that any majority of the old voters overlaps any majority of the new ones, and starts the
//! next change only once the last is committed:
//!
//! 1. It removes a voter whose address is now used by another identity: that voter's disk was replaced.
//! 2. It promotes a caught-up learner while the group has fewer voters than configured.
//! 3. It removes a voter that was silent for `replace_after` if a caught-up learner can take its place.
//!
//! It removes a voter only if a majority of the remaining ones has replied within `election_timeout_max`, so that the change can be
//! committed. Learners do not vote, so that a replica with an incomplete log does not count towards a majority.

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::log_entries::{LogIndex, Payload};
use crate::members::{Member, Members, ReplicaId};

/// Number of entries that a learner may lack when it becomes a voter; these may be in flight between two heartbeats.
const MAX_LEARNER_LAG: LogIndex = 2;

impl Replica {
    /// Adds a replica that receives the log without a vote. Removes an earlier learner at the same address.
    pub fn add_learner(&mut self, member: Member) {
        if member.id == self.id {
            return;
        }
        self.learners
            .retain(|_, known| known.address != member.address);
        self.learners.insert(member.id, member);
        self.update_progress_if_leading();
    }

    /// Removes a learner, for example because its link has closed.
    pub fn remove_learner(&mut self, id: ReplicaId) {
        self.learners.remove(&id);
        self.update_progress_if_leading();
    }

    fn update_progress_if_leading(&mut self) {
        if self.role == Role::Leader {
            self.track_progress();
        }
    }

    /// Changes the voters if necessary, provided that the last change is committed.
    pub(super) fn update_membership(&mut self, now: Timestamp) {
        let (index, members) = self.log.newest_members();
        if index > self.commit || !self.has_committed_in_term() {
            return;
        }
        if let Some(next) = self.choose_next_members(members, now) {
            self.append_entry(Payload::Members(next), now);
        }
    }

    fn choose_next_members(&self, members: &Members, now: Timestamp) -> Option<Members> {
        if let Some(replaced) = self.find_replaced_voter(members) {
            return self.remove_if_remaining_can_commit(members, replaced, now);
        }
        let learner = self.find_caught_up_learner(members, now)?;
        if members.voters.len() < self.config.voters {
            return Some(members.with(learner.clone()));
        }
        let silent = self.find_silent_voter(members, now)?;
        self.remove_if_remaining_can_commit(members, silent, now)
    }

    /// Finds a voter whose address is now used by another identity, which means that its process runs on a new disk.
    fn find_replaced_voter(&self, members: &Members) -> Option<ReplicaId> {
        let mut learners = self.learners.values();
        learners.find_map(|learner| {
            let voter = members.find_by_address(learner.address)?;
            (voter.id != learner.id && voter.id != self.id).then_some(voter.id)
        })
    }

    fn find_caught_up_learner(&self, members: &Members, now: Timestamp) -> Option<&Member> {
        let mut learners = self.learners.values();
        learners.find(|learner| {
            !members.contains(learner.id)
                && self.has_replied_within(learner.id, self.config.election_timeout_max, now)
                && self.is_caught_up(learner.id)
        })
    }

    fn is_caught_up(&self, id: ReplicaId) -> bool {
        let progress = self.leader_state.progress.get(&id);
        progress.is_some_and(|progress| {
            progress.match_index > 0 && progress.match_index + MAX_LEARNER_LAG >= self.commit
        })
    }

    /// Finds a voter that has not replied to this leader for `replace_after`. Returns `None` until this replica has led for that long.
    fn find_silent_voter(&self, members: &Members, now: Timestamp) -> Option<ReplicaId> {
        let limit = self.config.replace_after;
        if now < self.leader_state.since + limit {
            return None;
        }
        let others = members.voters.iter().filter(|member| member.id != self.id);
        let mut silent = others.filter(|member| {
            let progress = self.leader_state.progress.get(&member.id);
            let last_reply_at = progress.and_then(|progress| progress.last_reply_at);
            last_reply_at.is_none_or(|at| now > at + limit)
        });
        silent.next().map(|member| member.id)
    }

    fn remove_if_remaining_can_commit(
        &self,
        members: &Members,
        removed: ReplicaId,
        now: Timestamp,
    ) -> Option<Members> {
        let remaining = members.without(removed);
        let span = self.config.election_timeout_max;
        let voters = remaining.voters.iter();
        let replied = voters.filter(|member| self.has_replied_within(member.id, span, now));
        (replied.count() >= remaining.majority()).then_some(remaining)
    }
}
