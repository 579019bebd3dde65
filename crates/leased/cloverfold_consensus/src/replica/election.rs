//! Decision: who becomes leader.
//!
//! Rule: a replica whose election timer has run out first asks in a pre-vote whether it would win, and begins a term only if a majority
//! of the voters grants it; it leads once a majority has voted for it in that term. A voter grants a vote once a term, and only to a
//! replica whose log ends at least as late as its own (by term, then by index). In a pre-vote it promises nothing, and refuses while
//! a leader's message has arrived within `election_timeout_min`.
//!
//! Inputs: the votes of the current term, the ends of both logs, the time since a leader's message arrived (ms).
//!
//! Reason: a majority and one vote a term give at most one leader a term; the comparison of logs keeps committed entries. The pre-vote
//! keeps a replica that was cut off from ending the term of a leader that is alive.

use cloverfold_base::Timestamp;

use super::{Replica, Role};
use crate::members::ReplicaId;
use crate::messages::{Message, VoteReply, VoteRequest};

impl Replica {
    /// Begins a pre-vote if the election timer has run out and this replica may vote.
    pub(super) fn start_due_election(&mut self, now: Timestamp) {
        // A replica whose disk is busy would be a slow leader, and it must not start an election while an earlier vote is being written.
        if self.election_timer.is_due(now) && self.is_voter() && self.sync_progress.is_idle() {
            self.begin_pre_vote(now);
        }
    }

    fn begin_pre_vote(&mut self, now: Timestamp) {
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = vec![self.id];
        self.election_timer.restart(now);
        self.request_votes(true);
        self.count_votes(now);
    }

    fn begin_election(&mut self, now: Timestamp) {
        self.role = Role::Candidate;
        self.term += 1;
        self.voted_for = Some(self.id);
        self.write_hard_state();
        self.votes = vec![self.id];
        self.election_timer.restart(now);
        self.request_votes(false);
        self.count_votes(now);
    }

    /// Sends every other voter a request. Requests for a vote wait until this replica's own vote is synced, so that it may be counted
    /// together with the replies; requests of a pre-vote don't wait.
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

    pub(super) fn receive_vote(&mut self, from: ReplicaId, vote: &VoteRequest, now: Timestamp) {
        if vote.is_pre_vote {
            self.answer_pre_vote(from, vote, now);
        } else {
            self.answer_vote(from, vote, now);
        }
    }

    fn answer_pre_vote(&mut self, from: ReplicaId, vote: &VoteRequest, now: Timestamp) {
        let is_granted =
            vote.term > self.term && self.is_log_current(vote) && !self.has_recent_leader(now);
        let reply = VoteReply {
            term: if is_granted { vote.term } else { self.term },
            is_pre_vote: true,
            is_granted,
        };
        self.send(from, Message::VoteReply(reply), false);
    }

    fn answer_vote(&mut self, from: ReplicaId, vote: &VoteRequest, now: Timestamp) {
        if vote.term > self.term {
            self.become_follower(vote.term, None, now);
        }
        let may_vote = self.voted_for.is_none_or(|candidate| candidate == from);
        let is_granted = vote.term == self.term
            && self.is_log_current(vote)
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

    /// Returns whether the candidate's log ends at least as late as this replica's.
    fn is_log_current(&self, vote: &VoteRequest) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn has_recent_leader(&self, now: Timestamp) -> bool {
        let contact_at = self.following.last_leader_contact_at;
        self.role == Role::Leader
            || contact_at.is_some_and(|at| now < at + self.config.election_timeout_min)
    }

    pub(super) fn receive_vote_reply(
        &mut self,
        from: ReplicaId,
        reply: &VoteReply,
        now: Timestamp,
    ) {
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
            Role::PreCandidate => self.begin_election(now),
            Role::Candidate => self.become_leader(now),
            Role::Follower | Role::Leader => {}
        }
    }
}
