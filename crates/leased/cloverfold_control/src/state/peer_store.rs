//! What this process remembers of entries and guards, and their invitations after a restart.
//!
//! Owns what was written last. Relies on `cloverfold_peer` for whom to invite, and on [`PeerFile`](crate::peer_file::PeerFile) to write.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::send_once;
use cloverfold_peer::{Invitations, PeerMessage, StoredPeers};

use super::ControlState;
use crate::peer_file::PeerFile;

/// How often what is remembered is compared with who is there, and written if it differs. Chosen, not measured.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// What is remembered over a restart.
#[derive(Debug)]
pub(crate) struct PeerStore {
    file: PeerFile,
    written: StoredPeers,
    checked_at: Timestamp,
    pub(super) invitations: Invitations,
}

impl PeerStore {
    /// Goes on from what was remembered at the start.
    pub(crate) fn new(file: PeerFile, remembered: StoredPeers, now: Timestamp) -> Self {
        Self {
            file,
            invitations: Invitations::new(&remembered, now),
            written: remembered,
            checked_at: now,
        }
    }

    /// Returns what was remembered last.
    pub(super) fn remembered(&self) -> &StoredPeers {
        &self.written
    }
}

impl ControlState {
    /// Counts the remembered entries and guards as there for a while: the first directories name them.
    pub(super) fn restore_peers(&mut self, now: Timestamp) {
        let remembered = self.peer_store.remembered().clone();
        for entry in remembered.entries {
            self.entries.restore(entry, now);
        }
        for (guard, traits) in remembered.guards {
            self.guards.restore(guard, now);
            if let Some(service) = traits.service {
                self.services.insert(guard, service);
            }
            if let Some(hall) = traits.data_hall {
                self.halls.insert(guard, hall);
            }
        }
    }

    /// Remembers the entries and guards that are there, if they have changed.
    pub(super) fn store_peers(&mut self, now: Timestamp) {
        if now < self.peer_store.checked_at + WRITE_INTERVAL {
            return;
        }
        self.peer_store.checked_at = now;
        let peers = StoredPeers {
            entries: self.entries.addresses(),
            guards: self.list_guards(),
        };
        if peers != self.peer_store.written {
            self.peer_store.file.write(peers.clone());
            self.peer_store.written = peers;
        }
    }

    /// Asks remembered processes that are not connected to dial this process and the voters.
    pub(super) fn invite_stored_peers(&mut self, now: Timestamp) {
        let (entries, guards) = (&self.entries, &self.guards);
        let is_connected = |address| entries.is_connected(address) || guards.is_connected(address);
        let invited = self.peer_store.invitations.take_due(now, is_connected);
        if invited.is_empty() {
            return;
        }
        let mut controls = self.list_controls();
        controls.retain(|address| *address != self.own.address);
        controls.insert(0, self.own.address);
        for address in invited {
            let message = PeerMessage::DialControls(controls.clone());
            tokio::spawn(async move {
                // Harmless if it fails: the process is invited again as long as it isn't connected.
                let _ = send_once(address, &message).await;
            });
        }
    }
}
