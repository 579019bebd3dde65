//! How far the log is synced on this replica's own disk.
//!
//! Owns the last synced index and the batches that are still being written. Relies on the process, which reports each batch once it
//! is synced.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use super::ready::BatchNumber;
use crate::log_entries::LogIndex;

/// A batch that is being written.
#[derive(Clone, Copy, Debug)]
struct UnsyncedBatch {
    /// Last entry of the log that is durable once this batch is synced.
    last_index: LogIndex,
    written_at: Timestamp,
}

/// The synced part of the log, and what is being written.
#[derive(Clone, Debug)]
pub(super) struct SyncProgress {
    synced: LogIndex,
    unsynced: BTreeMap<BatchNumber, UnsyncedBatch>,
    next_batch: BatchNumber,
}

impl SyncProgress {
    /// Begins with a log that is synced up to `synced`.
    pub(super) fn new(synced: LogIndex) -> Self {
        Self {
            synced,
            unsynced: BTreeMap::new(),
            next_batch: 1,
        }
    }

    /// Returns the index of the last synced entry.
    pub(super) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns whether nothing is being written.
    pub(super) fn is_idle(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// Begins a batch that makes the log durable up to `last_index`.
    pub(super) fn begin_batch(&mut self, last_index: LogIndex, now: Timestamp) -> BatchNumber {
        let batch = self.next_batch;
        self.next_batch += 1;
        let unsynced = UnsyncedBatch {
            last_index,
            written_at: now,
        };
        self.unsynced.insert(batch, unsynced);
        batch
    }

    /// Records that a batch and all before it are synced; `log_end` is the last index of the log. Returns how long the newest of them
    /// took, `None` if the batch is unknown.
    pub(super) fn finish_batch(
        &mut self,
        batch: BatchNumber,
        log_end: LogIndex,
        now: Timestamp,
    ) -> Option<Duration> {
        let later = self.unsynced.split_off(&(batch + 1));
        let done = std::mem::replace(&mut self.unsynced, later);
        let newest = done.values().next_back()?;
        self.synced = self.synced.max(newest.last_index).min(log_end);
        Some(now.saturating_duration_since(newest.written_at))
    }

    /// Records that all entries from `index` on were removed: batches with them count no further.
    pub(super) fn truncate(&mut self, index: LogIndex) {
        let last = index - 1;
        self.synced = self.synced.min(last);
        for batch in self.unsynced.values_mut() {
            batch.last_index = batch.last_index.min(last);
        }
    }

    /// Records that a snapshot replaced the whole log: nothing of it is synced yet.
    pub(super) fn reset(&mut self) {
        self.unsynced.clear();
        self.synced = 0;
    }
}
