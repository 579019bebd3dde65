//! Which addresses each entry and guard is told, and when.
//!
//! A guard is told the entries that it works with ([`choose_entries`]) and the control processes, an entry only the control processes:
//! each gets what it needs, so that a directory does not grow with the installation. A process that has just connected is told at the
//! next tick. All others are told of changes at most each [`UPDATE_INTERVAL`], and only if their own directory has changed: while many
//! processes start, each connection would else move links of the others.
//!
//! Owns what each link was sent last ([`SentDirectories`]). Relies on the links of the state.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::LinkId;
use cloverfold_peer::{Directory, PeerMessage, PeerRole, choose_entries};

use super::ControlState;

/// How long changes are gathered before processes that have a directory are sent a new one. Chosen, not measured.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// What the links to entries and guards were sent.
#[derive(Debug, Default)]
pub(super) struct SentDirectories {
    by_link: HashMap<LinkId, Directory>,
    /// Since when processes have come or gone that are not in all of them; `None` if there are none.
    outdated_since: Option<Timestamp>,
}

impl SentDirectories {
    /// Records that a process has come or gone.
    pub(super) fn mark_outdated(&mut self, now: Timestamp) {
        self.outdated_since.get_or_insert(now);
    }

    /// Forgets a link that has closed.
    pub(super) fn forget(&mut self, link: LinkId) {
        self.by_link.remove(&link);
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
        let has_none = |peer: &AttachedPeer| !self.directories.by_link.contains_key(&peer.link);
        let mut receivers = self.list_attached();
        receivers.retain(|peer| is_update_due || has_none(peer));
        if is_update_due {
            self.directories.outdated_since = None;
        }
        if receivers.is_empty() {
            return;
        }
        let entries = choose_entries(&self.guards.addresses(), &self.entries.addresses());
        let controls = self.list_controls();
        for peer in receivers {
            let directory = build_directory(&entries, &controls, peer.address);
            self.send_changed_directory(peer.link, directory);
        }
    }

    fn list_attached(&self) -> Vec<AttachedPeer> {
        let peers = self.links.introduced();
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
            self.directories.forget(link);
        }
    }

    /// Lists the voters first, then this process, then the other control processes that are connected.
    fn list_controls(&self) -> Vec<SocketAddr> {
        let voters = self.replica.members().voters.iter();
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
    entries_of_guards: &BTreeMap<SocketAddr, BTreeSet<SocketAddr>>,
    controls: &[SocketAddr],
    receiver: SocketAddr,
) -> Directory {
    let entries = entries_of_guards.get(&receiver).into_iter().flatten();
    Directory {
        entries: entries.copied().collect(),
        controls: controls.to_vec(),
    }
}
