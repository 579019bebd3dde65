//! Distribution of directories: the addresses that each entry and guard should connect to.
//!
//! The directory of a guard holds the entries assigned to it ([`choose_entries`], [`add_needed_entries`]) and the control processes, that of
//! an entry only the control processes, so that directories do not grow with the installation. A newly connected process receives its
//! directory at the next tick. Other processes receive an update at most every [`UPDATE_INTERVAL`], and only if their own directory changed;
//! otherwise, every connection would rearrange the links of others while many processes start.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::TargetDescription;
use cloverfold_link::LinkId;
use cloverfold_peer::{
    Directory, EntrySubsets, GuardAttributes, KnownGuards, PeerMessage, PeerRole,
    add_needed_entries, choose_entries,
};

use super::ControlState;
use super::upkeep_targets::KnownTarget;

/// How long changes are collected before updated directories are sent.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// The directories last sent to entries and guards.
#[derive(Debug, Default)]
pub(super) struct SentDirectories {
    by_link: HashMap<LinkId, Directory>,
    /// Links that have not received a directory yet.
    pending: HashSet<LinkId>,
    /// Time of the first change that the sent directories do not include; `None` if they are up to date.
    outdated_since: Option<Timestamp>,
}

impl SentDirectories {
    /// Records that a process was added or removed.
    pub(super) fn mark_outdated(&mut self, now: Timestamp) {
        self.outdated_since.get_or_insert(now);
    }

    /// Schedules a directory for a link at the next tick.
    pub(super) fn mark_pending(&mut self, link: LinkId) {
        self.by_link.remove(&link);
        self.pending.insert(link);
    }

    /// Removes a closed link.
    pub(super) fn discard(&mut self, link: LinkId) {
        self.by_link.remove(&link);
        self.pending.remove(&link);
    }

    fn is_update_due(&self, now: Timestamp) -> bool {
        self.outdated_since
            .is_some_and(|since| now >= since + UPDATE_INTERVAL)
    }
}

/// A link to an entry or guard, and the peer address of that process.
#[derive(Clone, Copy, Debug)]
struct DirectoryReceiver {
    link: LinkId,
    address: SocketAddr,
}

impl ControlState {
    /// Sends directories to processes that have none and, if an update is due, to those whose directory changed.
    pub(super) fn send_due_directories(&mut self, now: Timestamp) {
        let is_update_due = self.directories.is_update_due(now);
        if !is_update_due && self.directories.pending.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.directories.pending);
        let mut receivers = self.list_directory_receivers();
        receivers.retain(|peer| is_update_due || pending.contains(&peer.link));
        if is_update_due {
            self.directories.outdated_since = None;
        }
        let entries = self.assign_entries();
        let controls = self.list_controls();
        for peer in receivers {
            let directory = build_directory(&entries, &controls, peer.address);
            self.send_changed_directory(peer.link, directory);
        }
    }

    /// Returns the entries of each guard.
    fn assign_entries(&mut self) -> EntrySubsets {
        let mut entries = choose_entries(&self.list_guards(), &self.entries.addresses());
        if !self.entry_needs.is_empty() {
            let needs = self.needs_by_entry();
            add_needed_entries(&mut entries, &self.list_usable_targets(), &needs);
        }
        entries
    }

    /// Records the target that a guard reports. Keeps the service of a guard whose target is gone, because it most likely returns.
    pub(super) fn record_target(&mut self, link: LinkId, target: &TargetDescription) {
        let Some(hello) = self.links.hello(link) else {
            return;
        };
        if hello.role != PeerRole::Guard {
            return;
        }
        let known = KnownTarget::new(target);
        self.upkeep_runtime.targets.insert(hello.address, known);
        let before = self.services.insert(hello.address, target.service.clone());
        if before.is_none_or(|before| before != target.service) {
            self.directories.mark_outdated(self.clock.now());
        }
        self.update_needed_targets();
    }

    /// Returns the known guards with the services of their targets and their data halls, and drops data about other guards.
    pub(super) fn list_guards(&mut self) -> KnownGuards {
        let guards = self.guards.addresses();
        self.services.retain(|guard, _| guards.contains(guard));
        self.halls.retain(|guard, _| guards.contains(guard));
        let targets = &mut self.upkeep_runtime.targets;
        targets.retain(|guard, _| guards.contains(guard));
        let describe = |guard| GuardAttributes {
            service: self.services.get(&guard).cloned(),
            data_hall: self.halls.get(&guard).cloned(),
        };
        let guards = guards.into_iter();
        guards.map(|guard| (guard, describe(guard))).collect()
    }

    fn list_directory_receivers(&self) -> Vec<DirectoryReceiver> {
        let peers = self.links.identified();
        let receivers =
            peers.filter(|(_, hello)| matches!(hello.role, PeerRole::Entry | PeerRole::Guard));
        let receivers = receivers.map(|(link, hello)| DirectoryReceiver {
            link,
            address: hello.address,
        });
        receivers.collect()
    }

    fn send_changed_directory(&mut self, link: LinkId, directory: Directory) {
        if self.directories.by_link.get(&link) == Some(&directory) {
            return;
        }
        let message = PeerMessage::Directory(directory.clone());
        // Retries at the next tick if the queue of the link is full.
        if self.links.send(link, &message) {
            self.directories.by_link.insert(link, directory);
        } else {
            self.directories.mark_pending(link);
        }
    }

    /// Lists the control processes: first the voters, then this process, then other connected ones.
    pub(super) fn list_controls(&self) -> Vec<SocketAddr> {
        let voters = self.host.replica.members().voters.iter();
        let voters = voters.map(|member| member.address);
        let own = std::iter::once(self.own.address);
        let peers = self.links.peers();
        let connected = peers
            .filter(|hello| matches!(hello.role, PeerRole::Control { .. }))
            .map(|hello| hello.address);
        let mut controls: Vec<SocketAddr> = Vec::new();
        for address in voters.chain(own).chain(connected) {
            if !controls.contains(&address) {
                controls.push(address);
            }
        }
        controls
    }
}

/// Returns the directory of the process with the peer address `receiver`.
fn build_directory(
    entries_of_guards: &EntrySubsets,
    controls: &[SocketAddr],
    receiver: SocketAddr,
) -> Directory {
    let entries = entries_of_guards.get(&receiver).into_iter().flatten();
    Directory {
        entries: entries.copied().collect(),
        controls: controls.to_vec(),
    }
}
