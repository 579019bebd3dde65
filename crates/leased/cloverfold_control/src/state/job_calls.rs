//! Routing of calls to the groups that keep jobs.
//!
//! The process that leads the group handles a call. Any other process forwards it to the leader, so that entries and guards need not know
//! the leader, or refuses it if no leader is known and connected. A forwarded call is never forwarded again, which rules out loops.

use cloverfold_base::Timestamp;
use cloverfold_consensus::ReplicaId;
use cloverfold_kept_jobs::{
    CallRefusal, GroupId, JobCall, JobCallMessage, JobReply, JobReplyMessage, RenewalReply,
};
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerMessage, PeerRole};
use tokio::sync::oneshot;

use super::ControlState;
use crate::job_groups::Caller;

impl ControlState {
    /// Handles a call from an entry or a guard, or one forwarded by another control process.
    pub(super) fn handle_job_call(&mut self, link: LinkId, call: JobCallMessage) {
        let token = call.token;
        let is_forwarded = self.replica_at(link).is_some();
        self.call_jobs(
            Caller::Peer { link, token },
            call.group,
            call.call,
            is_forwarded,
        );
    }

    /// Makes an operator's call to a group. The receiver gets no reply if the outcome is unknown.
    pub(crate) fn call_as_operator(
        &mut self,
        group: GroupId,
        call: JobCall,
    ) -> oneshot::Receiver<JobReply> {
        let (caller, rx) = self.jobs.relays.add_operator();
        self.call_jobs(caller, group, call, false);
        rx
    }

    fn call_jobs(&mut self, caller: Caller, group: GroupId, call: JobCall, is_forwarded: bool) {
        let now = self.clock.now();
        let refusal = match self.jobs.open_group_mut(group) {
            Some(host) if host.leader() == Some(self.replica_id) => {
                host.handle_call(caller, call, now);
                self.process_group_effects(group);
                return;
            }
            Some(host) if !is_forwarded => match host.leader() {
                Some(leader) => self.forward_call(caller, leader, group, call, now),
                None => Some(CallRefusal::NoLeader),
            },
            Some(_) => Some(CallRefusal::NoLeader),
            None => Some(self.refusal_for_missing_group(group)),
        };
        if let Some(refusal) = refusal {
            self.answer_job_call(caller, group, JobReply::Refused(refusal), None);
        }
    }

    fn refusal_for_missing_group(&self, group: GroupId) -> CallRefusal {
        let groups = self.state.job_groups.as_ref();
        if groups.is_some_and(|groups| group >= groups.count) {
            CallRefusal::UnknownGroup
        } else {
            // The group does not exist yet, or its store is not open yet.
            CallRefusal::NoLeader
        }
    }

    /// Forwards a call to the leader; returns the refusal if that is impossible.
    fn forward_call(
        &mut self,
        caller: Caller,
        leader: ReplicaId,
        group: GroupId,
        call: JobCall,
        now: Timestamp,
    ) -> Option<CallRefusal> {
        let Some(&link) = self.replica_links.get(&leader) else {
            return Some(CallRefusal::NoLeader);
        };
        let Some(token) = self.jobs.relays.add(caller, link, now) else {
            return Some(CallRefusal::Busy);
        };
        let message = JobCallMessage { token, group, call };
        if self.links.send(link, &PeerMessage::JobCall(message)) {
            return None;
        }
        self.jobs.relays.cancel(token);
        Some(CallRefusal::Busy)
    }

    /// Forwards the reply of another control process to the caller.
    pub(super) fn handle_job_reply(&mut self, link: LinkId, reply: JobReplyMessage) {
        if let Some(caller) = self.jobs.relays.take(reply.token, link) {
            self.answer_job_call(caller, reply.group, reply.reply, reply.leader);
        }
    }

    pub(super) fn answer_job_call(
        &mut self,
        caller: Caller,
        group: GroupId,
        reply: JobReply,
        leader: Option<String>,
    ) {
        match caller {
            Caller::Operator(token) => self.jobs.relays.answer_operator(token, reply),
            Caller::Peer { link, token } => {
                let message = JobReplyMessage {
                    token,
                    group,
                    leader,
                    reply,
                };
                // A caller whose link is closed retries the call.
                self.links.send(link, &PeerMessage::JobReply(message));
            }
        }
    }

    /// Sends an unsolicited renewal reply to an entry. An entry that is not connected gets the same information with its next renewal.
    pub(super) fn push_to_entry(&self, group: GroupId, entry: &str, reply: RenewalReply) {
        let mut peers = self.links.identified();
        let is_receiver = |hello: &Hello| hello.role == PeerRole::Entry && hello.name == entry;
        let Some((link, _)) = peers.find(|(_, hello)| is_receiver(hello)) else {
            return;
        };
        let message = JobReplyMessage {
            token: 0,
            group,
            leader: Some(self.own.name.clone()),
            reply: JobReply::Renewed(reply),
        };
        self.links.send(link, &PeerMessage::JobReply(message));
    }
}
