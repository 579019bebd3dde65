//! Integration of the hosted job groups into the state of the control process.

use cloverfold_base::Timestamp;
use cloverfold_consensus::{Member, Message, ReplicaId};
use cloverfold_kept_jobs::GroupId;
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerMessage, PeerRole};

use super::ControlState;
use crate::disk::DiskEvent;
use crate::job_groups::{GroupEffect, GroupHost};

impl ControlState {
    /// Starts to host the groups once they are agreed on, and announces them to entries and guards.
    pub(super) fn host_agreed_groups(&mut self) {
        if self.jobs.is_hosting() {
            return;
        }
        let Some(groups) = self.state.job_groups.clone() else {
            return;
        };
        log::info!(groups = groups.count, founders = groups.founders.len(); "hosting the agreed groups of kept jobs");
        self.jobs.open_stores(&groups);
        let links: Vec<LinkId> = self.links.identified().map(|(link, _)| link).collect();
        for link in links {
            self.send_job_groups(link);
        }
    }

    /// Sends the groups to an entry or guard.
    pub(super) fn send_job_groups(&self, link: LinkId) {
        let Some(groups) = &self.state.job_groups else {
            return;
        };
        let hello = self.links.hello(link);
        let is_receiver = |hello: &Hello| {
            matches!(hello.role, PeerRole::Entry | PeerRole::Guard) && hello.supports_kept_jobs()
        };
        if hello.is_some_and(is_receiver) {
            // If the queue of the link is full, the process receives the groups when it reconnects.
            self.links
                .send(link, &PeerMessage::JobGroups(groups.clone()));
        }
    }

    pub(super) fn handle_job_disk_event(&mut self, group: GroupId, event: DiskEvent) {
        let now = self.clock.now();
        if let Some(host) = self.jobs.open_group_mut(group) {
            host.handle_disk_event(&event, now);
        } else if let Some(groups) = self.state.job_groups.clone() {
            self.jobs.finish_open(group, &groups, event, now);
            self.connect_replicas(group);
        }
        self.process_group_effects(group);
    }

    /// Announces the connected replicas to a group that has just opened.
    fn connect_replicas(&mut self, group: GroupId) {
        let links = self.replica_links.iter();
        let members = links.filter_map(|(&id, &link)| {
            let hello = self.links.hello(link)?;
            let address = hello.address;
            hello.supports_kept_jobs().then_some(Member { id, address })
        });
        let members: Vec<Member> = members.collect();
        if let Some(host) = self.jobs.open_group_mut(group) {
            members
                .into_iter()
                .for_each(|member| host.connected(member));
        }
    }

    /// Records that another control process is connected.
    pub(super) fn job_replica_connected(&mut self, link: LinkId, member: &Member) {
        if self
            .links
            .hello(link)
            .is_some_and(Hello::supports_kept_jobs)
        {
            for group in self.jobs.open_groups_mut() {
                group.connected(member.clone());
            }
        }
    }

    /// Records that the link to another control process is closed.
    pub(super) fn job_replica_disconnected(&mut self, replica: ReplicaId) {
        for group in self.jobs.open_groups_mut() {
            group.disconnected(replica);
        }
    }

    pub(super) fn tick_jobs(&mut self, now: Timestamp) {
        self.jobs.relays.discard_expired(now);
        let ids: Vec<GroupId> = self.jobs.open_groups().map(GroupHost::id).collect();
        for group in ids {
            if let Some(host) = self.jobs.open_group_mut(group) {
                host.tick(now);
            }
            self.process_group_effects(group);
        }
    }

    /// Handles a consensus message of a group.
    pub(super) fn handle_job_consensus(&mut self, link: LinkId, group: GroupId, message: Message) {
        let now = self.clock.now();
        let from = self.replica_at(link);
        if let Some(from) = from
            && let Some(host) = self.jobs.open_group_mut(group)
        {
            host.receive(from, message, now);
            self.process_group_effects(group);
        }
    }

    /// Returns the hosted groups whose replica is running.
    pub(crate) fn open_groups(&self) -> impl Iterator<Item = &GroupHost> {
        self.jobs.open_groups()
    }

    /// Returns the number of groups that keep jobs; `None` if this process knows of none, though others may.
    pub(crate) fn job_group_count(&self) -> Option<u32> {
        let groups = self.state.job_groups.as_ref()?;
        (groups.count > 0).then_some(groups.count)
    }

    /// Returns the current time of the process clock.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Performs the actions that a group requests.
    pub(super) fn process_group_effects(&mut self, group: GroupId) {
        let Some(host) = self.jobs.open_group_mut(group) else {
            return;
        };
        for effect in host.take_effects() {
            match effect {
                GroupEffect::Send(to, message) => {
                    let message = *message;
                    self.send_to_group_replica(to, &PeerMessage::JobConsensus { group, message });
                }
                GroupEffect::Answer(caller, reply) => {
                    let leader = Some(self.own.name.clone());
                    self.answer_job_call(caller, group, reply, leader);
                }
                GroupEffect::Push { entry, reply } => self.push_to_entry(group, &entry, reply),
                GroupEffect::Dial(address) => self.dialed.add(address),
            }
        }
    }

    /// Sends a consensus message of a group, unless the receiver runs a build that cannot read it.
    fn send_to_group_replica(&self, to: ReplicaId, message: &PeerMessage) {
        let link = self.replica_links.get(&to);
        if let Some(&link) = link
            && self
                .links
                .hello(link)
                .is_some_and(Hello::supports_kept_jobs)
        {
            // The replica resends lost messages.
            self.links.send(link, message);
        }
    }
}
