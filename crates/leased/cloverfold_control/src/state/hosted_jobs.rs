//! The groups of kept jobs hosted by this process, and the calls forwarded to other processes.

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

/// Configuration of the groups that keep jobs.
#[derive(Clone, Debug)]
pub(crate) struct JobGroupsConfig {
    /// Number of groups to create if there are none yet.
    pub(crate) count: u32,
    pub(crate) groups: GroupSettings,
    pub(crate) seeds: Vec<SocketAddr>,
    /// The parent of the data folders of the groups.
    pub(crate) data_folder: PathBuf,
}

/// A group hosted by this process.
enum HostedGroup {
    /// The store is being opened; `None` if its disk thread could not be started.
    Opening(Option<DiskWriter>),
    /// The replica is running.
    Open(Box<GroupHost>),
}

/// The hosted groups and the forwarded calls.
pub(crate) struct HostedJobs {
    pub(super) config: JobGroupsConfig,
    disk_events: mpsc::UnboundedSender<LogEvent>,
    /// The groups by number; empty until the control processes have agreed on them.
    groups: Vec<HostedGroup>,
    pub(super) relays: JobRelays,
    pub(super) uncommitted: UncommittedEntries<()>,
}

impl HostedJobs {
    /// Creates the state without any group.
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

    /// Returns whether this process hosts the groups.
    pub(super) fn is_hosting(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Drops the calls forwarded over a closed link.
    pub(super) fn discard_link(&mut self, link: LinkId) {
        self.relays.discard_link(link);
    }

    /// Returns the groups whose replica is running.
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

    pub(super) fn open_group_mut(&mut self, group: GroupId) -> Option<&mut GroupHost> {
        match self.groups.get_mut(group as usize)? {
            HostedGroup::Open(group) => Some(group),
            HostedGroup::Opening(_) => None,
        }
    }

    /// Starts to open the stores of all groups.
    pub(super) fn open_stores(&mut self, groups: &JobGroups) {
        for group in 0..groups.count {
            let folder = self.config.data_folder.join(format!("jobs-{group}"));
            let events = DiskEventSender::new(LogId::Jobs(group), self.disk_events.clone());
            let disk = DiskWriter::open(folder, self.config.groups.replica, events);
            if let Err(cause) = &disk {
                log::error!(group; "cannot start the disk thread of a group: {cause}");
            }
            self.groups.push(HostedGroup::Opening(disk.ok()));
        }
    }

    /// Starts the replica of a group whose store is open.
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
