//! Decision: which replicas vote, without an operator.
//!
//! Rules, one change at a time and the next only once the last is committed:
//!
//! 1. a voter whose address another replica uses now is removed: its disk was replaced;
//! 2. a learner that has caught up becomes a voter while there are fewer voters than there should be;
//! 3. a voter that was silent for `replace_after` is removed if a learner that has caught up can take its place.
//!
//! A voter is removed only if a majority of the rest has replied within `election_timeout_max`, so that the change can be committed.
//!
//! Inputs: the newest members, the learners and their addresses, when each replica last replied and how far its log reaches.
//!
//! Reason: a group that waits for an operator after the loss of a box doesn't survive a second loss. With one change at a time any majority
//! of the old voters and any majority of the new ones have a voter in common. Learners don't vote, so that a replica whose log is
//! still short doesn't count for a majority (docs/design/7-control.md).

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::log_entries::{LogIndex, Payload};
use crate::members::{Member, Members, ReplicaId};

/// Entries that a learner may lack when it becomes a voter. Chosen, not measured: what is under way between two heartbeats.
const MAX_LEARNER_LAG: LogIndex = 2;

impl Replica {
    /// Adds a replica that receives the log without a vote. An earlier learner at the same address is forgotten.
    pub fn add_learner(&mut self, member: Member) {
        if member.id == self.id {
            return;
        }
        self.learners
            .retain(|_, known| known.address != member.address);
        self.learners.insert(member.id, member);
        self.update_progress_if_leading();
    }

    /// Forgets a learner whose link is closed.
    pub fn remove_learner(&mut self, id: ReplicaId) {
        self.learners.remove(&id);
        self.update_progress_if_leading();
    }

    fn update_progress_if_leading(&mut self) {
        if self.role == Role::Leader {
            self.track_progress();
        }
    }

    /// Changes the voters if that is due and the last change is committed.
    pub(super) fn manage_members(&mut self, now: Timestamp) {
        let (index, members) = self.log.newest_members();
        if index > self.commit || !self.has_committed_in_term() {
            return;
        }
        if let Some(next) = self.choose_next_members(members, now) {
            self.append_entry(Payload::Members(next), now);
        }
    }

    fn choose_next_members(&self, members: &Members, now: Timestamp) -> Option<Members> {
        if let Some(gone) = self.find_replaced_voter(members) {
            return self.remove_if_rest_can_commit(members, gone, now);
        }
        let learner = self.find_caught_up_learner(members, now)?;
        if members.voters.len() < self.config.voters {
            return Some(members.with(learner.clone()));
        }
        let silent = self.find_silent_voter(members, now)?;
        self.remove_if_rest_can_commit(members, silent, now)
    }

    /// Finds a voter whose address another identity uses now: its process runs on a new disk.
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
        let progress = self.leading.progress.get(&id);
        progress.is_some_and(|progress| {
            progress.matching > 0 && progress.matching + MAX_LEARNER_LAG >= self.commit
        })
    }

    /// Finds a voter that has not replied to this leader for `replace_after`; none before it has led for that long.
    fn find_silent_voter(&self, members: &Members, now: Timestamp) -> Option<ReplicaId> {
        let limit = self.config.replace_after;
        if now < self.leading.since + limit {
            return None;
        }
        let others = members.voters.iter().filter(|member| member.id != self.id);
        let mut silent = others.filter(|member| {
            let progress = self.leading.progress.get(&member.id);
            let last_reply_at = progress.and_then(|progress| progress.last_reply_at);
            last_reply_at.is_none_or(|at| now > at + limit)
        });
        silent.next().map(|member| member.id)
    }

    fn remove_if_rest_can_commit(
        &self,
        members: &Members,
        gone: ReplicaId,
        now: Timestamp,
    ) -> Option<Members> {
        let rest = members.without(gone);
        let span = self.config.election_timeout_max;
        let voters = rest.voters.iter();
        let replied = voters.filter(|member| self.has_replied_within(member.id, span, now));
        (replied.count() >= rest.majority()).then_some(rest)
    }
}
