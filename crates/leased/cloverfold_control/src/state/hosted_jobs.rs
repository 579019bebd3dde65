//! The groups that keep jobs and are hosted here, and what waits for other processes.
//!
//! Owns the groups and the calls that were passed on. Relies on [`GroupHost`] for what a group does.

use std::net::SocketAddr;
use std::path::PathBuf;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{GroupId, JobGroups};
use cloverfold_link::LinkId;
use tokio::sync::mpsc;

use super::job_relays::JobRelays;
use super::uncommitted::UncommittedEntries;
use crate::disk::{DiskEvent, DiskEventSender, DiskWriter, LogEvent, LogId};
use crate::job_groups::{GroupHost, GroupSettings};

/// How this process takes part in keeping jobs.
#[derive(Clone, Debug)]
pub(crate) struct JobGroupsConfig {
    /// The groups to agree on if there are none yet.
    pub(crate) count: u32,
    pub(crate) groups: GroupSettings,
    pub(crate) seeds: Vec<SocketAddr>,
    /// The folder in which each group has one of its own.
    pub(crate) data_folder: PathBuf,
}

/// A group that is hosted here.
enum HostedGroup {
    /// Its disk is being opened.
    Opening(Option<DiskWriter>),
    /// It takes part.
    Open(Box<GroupHost>),
}

/// The groups that are hosted here, and what waits for others.
pub(crate) struct HostedJobs {
    pub(super) config: JobGroupsConfig,
    disk_events: mpsc::UnboundedSender<LogEvent>,
    /// By number; empty until they are agreed on.
    groups: Vec<HostedGroup>,
    pub(super) relays: JobRelays,
    pub(super) uncommitted: UncommittedEntries<()>,
}

impl HostedJobs {
    /// Hosts nothing yet.
    pub(crate) fn new(
        config: JobGroupsConfig,
        disk_events: mpsc::UnboundedSender<LogEvent>,
    ) -> Self {
        Self {
            config,
            disk_events,
            groups: Vec::new(),
            relays: JobRelays::default(),
            uncommitted: UncommittedEntries::default(),
        }
    }

    /// Returns whether the groups are agreed on and hosted here.
    pub(super) fn is_hosting(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Forgets what waits for a link that has closed.
    pub(super) fn discard_link(&mut self, link: LinkId) {
        self.relays.discard_link(link);
    }

    /// Returns the groups that take part.
    pub(super) fn open_groups(&self) -> impl Iterator<Item = &GroupHost> {
        self.groups.iter().filter_map(|group| match group {
            HostedGroup::Open(group) => Some(group.as_ref()),
            HostedGroup::Opening(_) => None,
        })
    }

    pub(super) fn open_groups_mut(&mut self) -> impl Iterator<Item = &mut GroupHost> {
        self.groups.iter_mut().filter_map(|group| match group {
            HostedGroup::Open(group) => Some(group.as_mut()),
            HostedGroup::Opening(_) => None,
        })
    }

    pub(super) fn find_mut(&mut self, group: GroupId) -> Option<&mut GroupHost> {
        match self.groups.get_mut(group as usize)? {
            HostedGroup::Open(group) => Some(group),
            HostedGroup::Opening(_) => None,
        }
    }

    /// Begins to open the disks of all groups.
    pub(super) fn open_stores(&mut self, groups: &JobGroups) {
        for group in 0..groups.count {
            let folder = self.config.data_folder.join(format!("jobs-{group}"));
            let events = DiskEventSender::new(LogId::Jobs(group), self.disk_events.clone());
            let disk = DiskWriter::open(folder, self.config.groups.replica, events);
            if let Err(cause) = &disk {
                log::error!(group; "the disk's thread of a group cannot be started: {cause}");
            }
            self.groups.push(HostedGroup::Opening(disk.ok()));
        }
    }

    /// Makes a group take part whose disk is open.
    pub(super) fn finish_open(
        &mut self,
        group: GroupId,
        groups: &JobGroups,
        event: DiskEvent,
        now: Timestamp,
    ) {
        let DiskEvent::Opened(recovered) = event else {
            return;
        };
        let Some(hosted) = self.groups.get_mut(group as usize) else {
            return;
        };
        if let HostedGroup::Opening(disk) = hosted
            && let Some(disk) = disk.take()
        {
            let settings = &self.config.groups;
            let host = GroupHost::open(group, groups, settings, disk, *recovered, now);
            *hosted = HostedGroup::Open(Box::new(host));
        }
    }
}
