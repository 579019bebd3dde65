//! Persistence of the known entries and guards, and their invitations after a restart.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_link::send_once;
use cloverfold_peer::{Invitations, PeerMessage, StoredPeers};

use super::ControlState;
use crate::peer_file::PeerFile;

/// Interval at which changed peers are written to the file.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The peers stored across restarts.
#[derive(Debug)]
pub(crate) struct PeerStore {
    file: PeerFile,
    written: StoredPeers,
    checked_at: Timestamp,
    pub(super) invitations: Invitations,
}

impl PeerStore {
    /// Creates the store from the peers read at the start.
    pub(crate) fn new(file: PeerFile, stored: StoredPeers, now: Timestamp) -> Self {
        Self {
            file,
            invitations: Invitations::new(&stored, now),
            written: stored,
            checked_at: now,
        }
    }

    /// Returns the peers written last.
    pub(super) fn stored(&self) -> &StoredPeers {
        &self.written
    }
}

impl ControlState {
    /// Restores the stored entries and guards, so that the first directories include them.
    pub(super) fn restore_peers(&mut self, now: Timestamp) {
        let stored = self.peer_store.stored().clone();
        for entry in stored.entries {
            self.entries.restore(entry, now);
        }
        for (guard, attributes) in stored.guards {
            self.guards.restore(guard, now);
            if let Some(service) = attributes.service {
                self.services.insert(guard, service);
            }
            if let Some(hall) = attributes.data_hall {
                self.halls.insert(guard, hall);
            }
        }
    }

    /// Writes the known entries and guards to the file, if they changed.
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

    /// Asks stored processes that are not connected to dial this process and the voters.
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
                // A failure is harmless, because the process is invited again until it is connected.
                let _ = send_once(address, &message).await;
            });
        }
    }
}
