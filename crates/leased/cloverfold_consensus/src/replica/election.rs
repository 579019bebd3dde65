//! Leader election with pre-votes.
//!
//! A replica whose election timer expires first holds a pre-vote, and starts an election in a new term only if a majority of the voters
//! grants that. It becomes leader once a majority has voted for it. A voter grants one vote per term, and only to a candidate whose log
//! is at least as up to date as its own (by last term, then by last index), so that a new leader has all committed entries. A pre-vote
//! does not bind the voter, which rejects it if it heard from a leader within `election_timeout_min`; a replica returning from a
//! partition therefore does not depose a live leader.

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::members::ReplicaId;
use crate::messages::{Message, VoteReply, VoteRequest};

impl Replica {
    /// Starts a pre-vote if the election timer has expired and this replica is a voter.
    pub(super) fn start_election_if_due(&mut self, now: Timestamp) {
        // A replica with a busy disk would be a slow leader, and must not start an election before its earlier vote is synced.
        if self.election_timer.is_due(now) && self.is_voter() && self.sync_progress.is_idle() {
            self.start_pre_vote(now);
        }
    }

    fn start_pre_vote(&mut self, now: Timestamp) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = vec![self.id];
        self.election_timer.restart(now);
        self.request_votes(true);
        self.count_votes(now);
    }

    fn start_election(&mut self, now: Timestamp) {
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = Some(self.id);
        self.write_hard_state();
        self.votes = vec![self.id];
        self.election_timer.restart(now);
        self.request_votes(false);
        self.count_votes(now);
    }

    /// Requests votes from all other voters. Vote requests wait until this replica's own vote is synced, because that vote counts towards
    /// the majority; pre-vote requests do not wait.
    fn request_votes(&mut self, is_pre_vote: bool) {
        let term = if is_pre_vote {
            self.term + 1
        } else {
            self.term
        };
        let vote = VoteRequest {
            term,
            is_pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        for to in self.other_voters() {
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

    pub(super) fn handle_vote_request(
        &mut self,
        from: ReplicaId,
        vote: &VoteRequest,
        now: Timestamp,
    ) {
        if vote.is_pre_vote {
            self.reply_to_pre_vote(from, vote, now);
        } else {
            self.reply_to_vote(from, vote, now);
        }
    }

    fn reply_to_pre_vote(&mut self, from: ReplicaId, vote: &VoteRequest, now: Timestamp) {
        let is_granted =
            vote.term > self.term && self.is_log_up_to_date(vote) && !self.has_recent_leader(now);
        let reply = VoteReply {
            term: if is_granted { vote.term } else { self.term },
            is_pre_vote: true,
            is_granted,
        };
        self.send(from, Message::VoteReply(reply), false);
    }

    fn reply_to_vote(&mut self, from: ReplicaId, vote: &VoteRequest, now: Timestamp) {
        if vote.term > self.term {
            self.become_follower(vote.term, None, now);
        }
        let may_vote = self.voted_for.is_none_or(|candidate| candidate == from);
        let is_granted = vote.term == self.term
            && self.is_log_up_to_date(vote)
            && may_vote
            && self.role == Role::Follower;
        if is_granted {
            self.voted_for = Some(from);
            self.write_hard_state();
            self.election_timer.restart(now);
        }
        let reply = VoteReply {
            term: self.term,
            is_pre_vote: false,
            is_granted,
        };
        self.send(from, Message::VoteReply(reply), true);
    }

    /// Returns whether the candidate's log is at least as up to date as this replica's.
    fn is_log_up_to_date(&self, vote: &VoteRequest) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn has_recent_leader(&self, now: Timestamp) -> bool {
        let contact_at = self.follower_state.last_leader_contact_at;
        self.role == Role::Leader
            || contact_at.is_some_and(|at| now < at + self.config.election_timeout_min)
    }

    pub(super) fn handle_vote_reply(&mut self, from: ReplicaId, reply: &VoteReply, now: Timestamp) {
        if !reply.is_granted {
            if reply.term > self.term {
                self.become_follower(reply.term, None, now);
            }
            return;
        }
        let is_awaited = match self.role {
            Role::PreCandidate => reply.is_pre_vote && reply.term == self.term + 1,
            Role::Candidate => !reply.is_pre_vote && reply.term == self.term,
            Role::Follower | Role::Leader => false,
        };
        if is_awaited && !self.votes.contains(&from) {
            self.votes.push(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Timestamp) {
        let members = self.members();
        let votes = self.votes.iter().filter(|&&id| members.contains(id));
        if votes.count() < members.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(now),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }
}
