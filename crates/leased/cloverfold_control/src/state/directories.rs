//! Which addresses each entry and guard is told, and when.
//!
//! A guard is told the entries that it works with ([`choose_entries`]) and the control processes, an entry only the control processes:
//! each gets what it needs, so that a directory does not grow with the installation. A process that has just connected is told at the
//! next tick. All others are told of changes at most each [`UPDATE_INTERVAL`], and only if their own directory has changed: while many
//! processes start, each connection would else move links of the others.
//!
//! Owns what each link was sent last ([`SentDirectories`]). Relies on the links of the state.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::TargetDescription;
use cloverfold_link::LinkId;
use cloverfold_peer::{
    Directory, EntrySubsets, GuardAttributes, KnownGuards, PeerMessage, PeerRole, choose_entries,
};

use super::ControlState;
use super::upkeep_targets::KnownTarget;

/// How long changes are gathered before processes that have a directory are sent a new one. Chosen, not measured.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// What the links to entries and guards were sent.
#[derive(Debug, Default)]
pub(super) struct SentDirectories {
    by_link: HashMap<LinkId, Directory>,
    /// Links that were sent none yet.
    pending: HashSet<LinkId>,
    /// Since when processes have come or gone that are not in all of them; `None` if there are none.
    outdated_since: Option<Timestamp>,
}

impl SentDirectories {
    /// Records that a process has come or gone.
    pub(super) fn mark_outdated(&mut self, now: Timestamp) {
        self.outdated_since.get_or_insert(now);
    }

    /// Records a link that is to be sent a directory at the next tick.
    pub(super) fn mark_pending(&mut self, link: LinkId) {
        self.by_link.remove(&link);
        self.pending.insert(link);
    }

    /// Forgets a link that has closed.
    pub(super) fn discard(&mut self, link: LinkId) {
        self.by_link.remove(&link);
        self.pending.remove(&link);
    }

    fn is_update_due(&self, now: Timestamp) -> bool {
        self.outdated_since
            .is_some_and(|since| now >= since + UPDATE_INTERVAL)
    }
}

/// A link to an entry or guard, and the address at which that listens to peers.
#[derive(Clone, Copy, Debug)]
struct AttachedPeer {
    link: LinkId,
    address: SocketAddr,
}

impl ControlState {
    /// Sends the directories that are due: to processes that have none, and after a change to those whose own has changed.
    pub(super) fn send_due_directories(&mut self, now: Timestamp) {
        let is_update_due = self.directories.is_update_due(now);
        if !is_update_due && self.directories.pending.is_empty() {
            return;
        }
        let pending = std::mem::take(&mut self.directories.pending);
        let mut receivers = self.list_attached();
        receivers.retain(|peer| is_update_due || pending.contains(&peer.link));
        if is_update_due {
            self.directories.outdated_since = None;
        }
        let entries = choose_entries(&self.list_guards(), &self.entries.addresses());
        let controls = self.list_controls();
        for peer in receivers {
            let directory = build_directory(&entries, &controls, peer.address);
            self.send_changed_directory(peer.link, directory);
        }
    }

    /// Records what a guard tells of its target. The service of a guard whose target is away is remembered: it most likely comes back.
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
    }

    /// Returns the guards that count, with the services of their targets and their halls, and forgets those of guards that no longer
    /// count.
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

    fn list_attached(&self) -> Vec<AttachedPeer> {
        let peers = self.links.identified();
        let attached =
            peers.filter(|(_, hello)| matches!(hello.role, PeerRole::Entry | PeerRole::Guard));
        let peers = attached.map(|(link, hello)| AttachedPeer {
            link,
            address: hello.address,
        });
        peers.collect()
    }

    fn send_changed_directory(&mut self, link: LinkId, directory: Directory) {
        if self.directories.by_link.get(&link) == Some(&directory) {
            return;
        }
        let message = PeerMessage::Directory(directory.clone());
        // One that does not fit into the queue of its link is sent at the next tick.
        if self.links.send(link, &message) {
            self.directories.by_link.insert(link, directory);
        } else {
            self.directories.mark_pending(link);
        }
    }

    /// Lists the voters first, then this process, then the other control processes that are connected.
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

/// Returns the directory of the process that listens at `receiver`.
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
