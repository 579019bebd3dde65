//! How voters are taken in and out, one at a time, without an operator.

use crate::log_entries::Payload;
use crate::membership::{Member, Members, ReplicaId};
use crate::replica::{Moment, Replica, Role};

/// How far a listener may be behind when it becomes a voter.
const CAUGHT_UP: u64 = 2;

impl Replica {
    /// Says that a replica that is no voter wants the log.
    pub fn add_listener(&mut self, member: Member) {
        if member.id == self.id {
            return;
        }
        self.listeners
            .retain(|_, held| held.address != member.address);
        self.listeners.insert(member.id, member);
        if self.role == Role::Leader {
            self.follow_progress();
        }
    }

    /// Forgets a listener whose link is gone.
    pub fn remove_listener(&mut self, id: ReplicaId) {
        self.listeners.remove(&id);
        if self.role == Role::Leader {
            self.follow_progress();
        }
    }

    /// Changes the voters if that is due and the last change is committed.
    pub(super) fn manage_members(&mut self, now: Moment) {
        let (index, members) = self.log.newest_members();
        if index > self.commit || !self.has_committed_in_term() {
            return;
        }
        let members = members.clone();
        if let Some(next) = self.choose_members(&members, now) {
            self.append_own(Payload::Members(next), now);
        }
    }

    fn choose_members(&self, members: &Members, now: Moment) -> Option<Members> {
        if let Some(gone) = self.find_erased_voter(members) {
            return self.remove_if_safe(members, gone, now);
        }
        let ready = self.find_caught_up_listener(members, now)?;
        if members.voters.len() < self.config.voters {
            return Some(members.with(ready));
        }
        let silent = self.find_silent_voter(members, now)?;
        self.remove_if_safe(members, silent, now)
    }

    /// Finds a voter whose address another identity uses now: its disk is gone for good.
    fn find_erased_voter(&self, members: &Members) -> Option<ReplicaId> {
        let mut listeners = self.listeners.values();
        let voter = listeners.find_map(|listener| {
            let voter = members.at(listener.address)?;
            (voter.id != listener.id && voter.id != self.id).then_some(voter)
        });
        voter.map(|voter| voter.id)
    }

    fn find_caught_up_listener(&self, members: &Members, now: Moment) -> Option<Member> {
        let span = self.config.election_max;
        let mut listeners = self.listeners.values();
        let ready = listeners.find(|listener| {
            let progress = self.progress.get(&listener.id);
            !members.contains(listener.id)
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
    fn remove_if_safe(&self, members: &Members, gone: ReplicaId, now: Moment) -> Option<Members> {
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
