//! How a leader is found.

use crate::log_entries::Payload;
use crate::members::ReplicaId;
use crate::messages::{Message, Vote, VoteReply};
use crate::replica::{Moment, Replica, Role};

impl Replica {
    /// Asks whether an election would be won, without disturbing a group that has a leader.
    pub(super) fn begin_pre_vote(&mut self, now: Moment) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = vec![self.id];
        self.defer_election(now);
        self.request_votes(true);
        self.count_votes(now);
    }

    fn begin_election(&mut self, now: Moment) {
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = Some(self.id);
        self.write_hard_state();
        self.votes = vec![self.id];
        self.defer_election(now);
        self.request_votes(false);
        self.count_votes(now);
    }

    /// Requests leave after the own vote is synced, so that replies imply it.
    fn request_votes(&mut self, is_pre_vote: bool) {
        let vote = Vote {
            term: if is_pre_vote {
                self.term + 1
            } else {
                self.term
            },
            is_pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let others: Vec<ReplicaId> = self.other_voters();
        for to in others {
            self.send(to, Message::Vote(vote.clone()), !is_pre_vote);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.members().voters.iter();
        voters
            .map(|member| member.id)
            .filter(|&id| id != self.id)
            .collect()
    }

    pub(super) fn receive_vote_request(&mut self, from: ReplicaId, vote: &Vote, now: Moment) {
        let is_current =
            (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index());
        if vote.is_pre_vote {
            let has_leader = self.has_recent_leader(now);
            let is_granted = vote.term > self.term && is_current && !has_leader;
            let reply = VoteReply {
                term: if is_granted { vote.term } else { self.term },
                is_pre_vote: true,
                is_granted,
            };
            self.send(from, Message::VoteReply(reply), false);
            return;
        }
        if vote.term > self.term {
            self.follow(vote.term, None, now);
        }
        let may_vote = self.voted_for.is_none_or(|held| held == from);
        let is_granted =
            vote.term == self.term && is_current && may_vote && self.role == Role::Follower;
        if is_granted {
            self.voted_for = Some(from);
            self.write_hard_state();
            self.defer_election(now);
        }
        let reply = VoteReply {
            term: self.term,
            is_pre_vote: false,
            is_granted,
        };
        self.send(from, Message::VoteReply(reply), true);
    }

    fn has_recent_leader(&self, now: Moment) -> bool {
        let is_leading = self.role == Role::Leader;
        is_leading
            || self
                .heard_leader_at
                .is_some_and(|at| now < at + self.config.election_min)
    }

    pub(super) fn receive_vote_reply(&mut self, from: ReplicaId, reply: &VoteReply, now: Moment) {
        if !reply.is_granted {
            if reply.term > self.term {
                self.follow(reply.term, None, now);
            }
            return;
        }
        let is_meant = match self.role {
            Role::PreCandidate => reply.is_pre_vote && reply.term == self.term + 1,
            Role::Candidate => !reply.is_pre_vote && reply.term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if is_meant && !self.votes.contains(&from) {
            self.votes.push(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Moment) {
        let members = self.members();
        let votes = self
            .votes
            .iter()
            .filter(|&&id| members.contains(id))
            .count();
        if votes < members.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.begin_election(now),
            Role::Candidate => self.lead(now),
            Role::Follower | Role::Leader => {}
        }
    }

    fn lead(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.led_since = now;
        self.progress.clear();
        self.track_progress();
        self.append_entry(Payload::Empty, now);
    }
}
