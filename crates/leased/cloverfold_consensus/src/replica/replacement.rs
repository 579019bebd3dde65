//! How voters are taken in and out, one at a time, without an operator.

use crate::log_entries::Payload;
use crate::members::{Member, Members, ReplicaId};
use crate::replica::{Moment, Replica, Role};

/// How far a learner may be behind when it becomes a voter.
const CAUGHT_UP: u64 = 2;

impl Replica {
    /// Says that a replica that is no voter wants the log.
    pub fn add_learner(&mut self, member: Member) {
        if member.id == self.id {
            return;
        }
        self.learners
            .retain(|_, held| held.address != member.address);
        self.learners.insert(member.id, member);
        if self.role == Role::Leader {
            self.track_progress();
        }
    }

    /// Forgets a learner whose link is gone.
    pub fn remove_learner(&mut self, id: ReplicaId) {
        self.learners.remove(&id);
        if self.role == Role::Leader {
            self.track_progress();
        }
    }

    /// Changes the voters if that is due and the last change is committed.
    pub(super) fn manage_members(&mut self, now: Moment) {
        let (index, members) = self.log.newest_members();
        if index > self.commit || !self.has_committed_in_term() {
            return;
        }
        let members = members.clone();
        if let Some(next) = self.choose_next_members(&members, now) {
            self.append_entry(Payload::Members(next), now);
        }
    }

    fn choose_next_members(&self, members: &Members, now: Moment) -> Option<Members> {
        if let Some(gone) = self.find_reidentified_voter(members) {
            return self.remove_if_rest_can_commit(members, gone, now);
        }
        let ready = self.find_caught_up_learner(members, now)?;
        if members.voters.len() < self.config.voters {
            return Some(members.with(ready));
        }
        let silent = self.find_silent_voter(members, now)?;
        self.remove_if_rest_can_commit(members, silent, now)
    }

    /// Finds a voter whose address another identity uses now: its disk is gone for good.
    fn find_reidentified_voter(&self, members: &Members) -> Option<ReplicaId> {
        let mut learners = self.learners.values();
        let voter = learners.find_map(|learner| {
            let voter = members.find_by_address(learner.address)?;
            (voter.id != learner.id && voter.id != self.id).then_some(voter)
        });
        voter.map(|voter| voter.id)
    }

    fn find_caught_up_learner(&self, members: &Members, now: Moment) -> Option<Member> {
        let span = self.config.election_max;
        let mut learners = self.learners.values();
        let ready = learners.find(|learner| {
            let progress = self.progress.get(&learner.id);
            !members.contains(learner.id)
                && progress.is_some_and(|progress| {
                    let is_heard = progress.heard_at.is_some_and(|at| now < at + span);
                    is_heard
                        && progress.matching + CAUGHT_UP >= self.commit
                        && progress.matching > 0
                })
        });
        ready.cloned()
    }

    fn find_silent_voter(&self, members: &Members, now: Moment) -> Option<ReplicaId> {
        let limit = self.config.replace_after;
        if now < self.led_since + limit {
            return None;
        }
        let others = members.voters.iter().filter(|member| member.id != self.id);
        let mut silent = others.filter(|member| {
            let progress = self.progress.get(&member.id);
            let heard_at = progress.and_then(|progress| progress.heard_at);
            heard_at.is_none_or(|at| now > at + limit)
        });
        silent.next().map(|member| member.id)
    }

    /// Removes a voter only if the rest can commit that.
    fn remove_if_rest_can_commit(
        &self,
        members: &Members,
        gone: ReplicaId,
        now: Moment,
    ) -> Option<Members> {
        let next = members.without(gone);
        let span = self.config.election_max;
        let is_heard = |member: &&Member| {
            member.id == self.id
                || self
                    .progress
                    .get(&member.id)
                    .and_then(|progress| progress.heard_at)
                    .is_some_and(|at| now < at + span)
        };
        let heard = next.voters.iter().filter(is_heard).count();
        (heard >= next.majority()).then_some(next)
    }
}
