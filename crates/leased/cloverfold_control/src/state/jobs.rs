//! The groups that keep jobs, in the state of a control process: which are hosted, who is connected, what they want done.

use cloverfold_base::Timestamp;
use cloverfold_consensus::{Member, Message, ReplicaId};
use cloverfold_kept_jobs::GroupId;
use cloverfold_link::LinkId;
use cloverfold_peer::{Hello, PeerMessage, PeerRole};

use super::ControlState;
use crate::disk::DiskEvent;
use crate::job_groups::{GroupEffect, GroupHost};

impl ControlState {
    /// Hosts the groups that are agreed on, and tells entries and guards of them.
    pub(super) fn host_agreed_groups(&mut self) {
        if self.jobs.is_hosting() {
            return;
        }
        let Some(groups) = self.state.job_groups.clone() else {
            return;
        };
        log::info!(groups = groups.count, founders = groups.founders.len(); "the groups that keep jobs are agreed on");
        self.jobs.open_stores(&groups);
        let links: Vec<LinkId> = self.links.identified().map(|(link, _)| link).collect();
        for link in links {
            self.send_job_groups(link);
        }
    }

    /// Tells an entry or guard which groups there are.
    pub(super) fn send_job_groups(&self, link: LinkId) {
        let Some(groups) = &self.state.job_groups else {
            return;
        };
        let hello = self.links.hello(link);
        let is_told = |hello: &Hello| {
            matches!(hello.role, PeerRole::Entry | PeerRole::Guard) && hello.supports_kept_jobs()
        };
        if hello.is_some_and(is_told) {
            // One whose queue is full is told when it connects again.
            self.links
                .send(link, &PeerMessage::JobGroups(groups.clone()));
        }
    }

    /// Handles an event of the disk of a group.
    pub(super) fn job_disk_event(&mut self, group: GroupId, event: DiskEvent) {
        let now = self.clock.now();
        if let Some(host) = self.jobs.find_mut(group) {
            host.disk_event(&event, now);
        } else if let Some(groups) = self.state.job_groups.clone() {
            self.jobs.finish_open(group, &groups, event, now);
            self.connect_replicas(group);
        }
        self.process_group_effects(group);
    }

    /// Tells a group that has just opened which replicas are connected.
    fn connect_replicas(&mut self, group: GroupId) {
        let links = self.replica_links.iter();
        let members = links.filter_map(|(&id, &link)| {
            let hello = self.links.hello(link)?;
            let address = hello.address;
            hello.supports_kept_jobs().then_some(Member { id, address })
        });
        let members: Vec<Member> = members.collect();
        if let Some(host) = self.jobs.find_mut(group) {
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

    /// Does the work of the groups that has fallen due.
    pub(super) fn tick_jobs(&mut self, now: Timestamp) {
        self.jobs.relays.discard_expired(now);
        let ids: Vec<GroupId> = self.jobs.open_groups().map(GroupHost::id).collect();
        for group in ids {
            if let Some(host) = self.jobs.find_mut(group) {
                host.tick(now);
            }
            self.process_group_effects(group);
        }
    }

    /// Handles a message of a group's log.
    pub(super) fn receive_job_consensus(&mut self, link: LinkId, group: GroupId, message: Message) {
        let now = self.clock.now();
        let from = self.replica_at(link);
        if let Some(from) = from
            && let Some(host) = self.jobs.find_mut(group)
        {
            host.receive(from, message, now);
            self.process_group_effects(group);
        }
    }

    /// Returns the groups that are hosted here and take part.
    pub(crate) fn open_groups(&self) -> impl Iterator<Item = &GroupHost> {
        self.jobs.open_groups()
    }

    /// Returns how many groups keep jobs; `None` until that is agreed on.
    pub(crate) fn job_group_count(&self) -> Option<u32> {
        let groups = self.state.job_groups.as_ref()?;
        (groups.count > 0).then_some(groups.count)
    }

    /// Returns the present point in time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Carries out what a group wants done.
    pub(super) fn process_group_effects(&mut self, group: GroupId) {
        let Some(host) = self.jobs.find_mut(group) else {
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

    /// Sends a message of a group's log, unless the other process is of a build that cannot read it.
    fn send_to_group_replica(&self, to: ReplicaId, message: &PeerMessage) {
        let link = self.replica_links.get(&to);
        if let Some(&link) = link
            && self
                .links
                .hello(link)
                .is_some_and(Hello::supports_kept_jobs)
        {
            // A message that is lost is sent again by the replica.
            self.links.send(link, message);
        }
    }
}
