//! One replica of a log with its disk.
//!
//! [`ReplicaHost`] owns the replica, the thread that writes its records, and the messages that wait for them. It relies on
//! `cloverfold_consensus` for every decision; whoever owns the host sends the messages and applies the entries.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{OutgoingMessage, Ready, Replica, Role};

use crate::disk::{DiskEvent, DiskWriter};
use crate::pending_writes::PendingWrites;

/// A replica, its disk, and what waits for the disk.
pub(crate) struct ReplicaHost {
    pub(crate) replica: Replica,
    disk: DiskWriter,
    writes: PendingWrites,
    /// Whether the disk refused the last write.
    is_failing: bool,
}

impl ReplicaHost {
    /// Joins a replica to the disk that has its records.
    pub(crate) fn new(replica: Replica, disk: DiskWriter) -> Self {
        Self {
            replica,
            disk,
            writes: PendingWrites::default(),
            is_failing: false,
        }
    }

    /// Returns whether this replica leads.
    pub(crate) fn is_leader(&self) -> bool {
        self.replica.status().role == Role::Leader
    }

    /// Handles an event of the disk; returns the messages that waited for it.
    pub(crate) fn disk_event(&mut self, event: &DiskEvent, now: Timestamp) -> Vec<OutgoingMessage> {
        match event {
            DiskEvent::Synced(batch) => {
                self.is_failing = false;
                self.replica.mark_synced(*batch, now);
                self.writes.finish(*batch).collect()
            }
            DiskEvent::Failing => {
                log::warn!("the disk refuses writes");
                self.is_failing = true;
                Vec::new()
            }
            // The store is open before its replica begins.
            DiskEvent::Opened(_) => Vec::new(),
        }
    }

    /// Hands to the disk what the replica wants written. Returns what else it wants, without the messages that must wait for the disk.
    pub(crate) fn write_wanted(&mut self, now: Timestamp) -> Ready {
        let mut ready = self.replica.take_ready();
        if let Some(batch) = ready.batch {
            let messages = std::mem::take(&mut ready.messages);
            let (waiting, free) = messages.into_iter().partition(|m| m.after_sync);
            ready.messages = free;
            self.writes.begin(batch, waiting, now);
            self.disk.write(batch, std::mem::take(&mut ready.records));
        }
        ready
    }

    /// Returns whether the disk refuses writes, or has not synced one for longer than `limit`.
    pub(crate) fn is_disk_stuck(&self, limit: Duration, now: Timestamp) -> bool {
        let oldest = self.writes.oldest_begun_at();
        self.is_failing || oldest.is_some_and(|begun_at| now > begun_at + limit)
    }

    /// Logs the writes that are slow.
    pub(crate) fn log_slow(&mut self, now: Timestamp) {
        self.writes.log_slow(now);
    }
}
