//! A consensus replica together with its disk writer.
//!
//! [`ReplicaHost`] persists the records of the replica and holds back the messages that wait for them. The owner of the host sends the
//! messages and applies the entries.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{OutgoingMessage, Ready, Replica, Role};

use crate::disk::{DiskEvent, DiskWriter};
use crate::pending_writes::PendingWrites;

/// A replica, its disk writer and the unsynced batches.
pub(crate) struct ReplicaHost {
    pub(crate) replica: Replica,
    disk: DiskWriter,
    writes: PendingWrites,
    /// Whether the last write failed.
    is_failing: bool,
}

impl ReplicaHost {
    /// Combines a replica with the writer of its store.
    pub(crate) fn new(replica: Replica, disk: DiskWriter) -> Self {
        Self {
            replica,
            disk,
            writes: PendingWrites::default(),
            is_failing: false,
        }
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.replica.status().role == Role::Leader
    }

    /// Handles a disk event; returns the messages that waited for it.
    pub(crate) fn handle_disk_event(
        &mut self,
        event: &DiskEvent,
        now: Timestamp,
    ) -> Vec<OutgoingMessage> {
        match event {
            DiskEvent::Synced(batch) => {
                self.is_failing = false;
                self.replica.mark_synced(*batch, now);
                self.writes.finish(*batch).collect()
            }
            DiskEvent::Failing => {
                log::warn!("writes to the log fail and are retried");
                self.is_failing = true;
                Vec::new()
            }
            // The store was opened before the replica was created.
            DiskEvent::Opened(_) => Vec::new(),
        }
    }

    /// Takes the ready batch of the replica and queues its records for the disk. Returns the rest of the batch, without the messages that
    /// must wait for the sync.
    pub(crate) fn write_ready(&mut self, now: Timestamp) -> Ready {
        let mut ready = self.replica.take_ready();
        if let Some(batch) = ready.batch {
            let messages = std::mem::take(&mut ready.messages);
            let (waiting, immediate) = messages.into_iter().partition(|m| m.after_sync);
            ready.messages = immediate;
            self.writes.add(batch, waiting, now);
            self.disk.write(batch, std::mem::take(&mut ready.records));
        }
        ready
    }

    /// Returns whether writes fail, or one has been unsynced for longer than `limit`.
    pub(crate) fn is_disk_stuck(&self, limit: Duration, now: Timestamp) -> bool {
        let oldest = self.writes.oldest_begun_at();
        self.is_failing || oldest.is_some_and(|begun_at| now > begun_at + limit)
    }

    pub(crate) fn log_slow(&mut self, now: Timestamp) {
        self.writes.log_slow(now);
    }
}
