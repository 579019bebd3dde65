//! Tracks how far this replica's own disk has synced the log.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;

use super::ready::BatchNumber;
use crate::log_entries::LogIndex;

/// A batch that is not synced yet.
#[derive(Clone, Copy, Debug)]
struct UnsyncedBatch {
    /// Index of the last log entry that is durable once this batch is synced.
    last_index: LogIndex,
    written_at: Timestamp,
}

/// The last synced index and the batches that are not synced yet.
#[derive(Clone, Debug)]
pub(super) struct SyncProgress {
    synced: LogIndex,
    unsynced: BTreeMap<BatchNumber, UnsyncedBatch>,
    next_batch: BatchNumber,
}

impl SyncProgress {
    /// Creates the progress of a log that is synced up to `synced`.
    pub(super) fn new(synced: LogIndex) -> Self {
        Self {
            synced,
            unsynced: BTreeMap::new(),
            next_batch: 1,
        }
    }

    pub(super) fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns whether all batches are synced.
    pub(super) fn is_idle(&self) -> bool {
        self.unsynced.is_empty()
    }

    /// Registers a new batch that makes the log durable up to `last_index`, and returns its number.
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

    /// Records that a batch and all earlier ones are synced; `log_end` is the last index of the log. Returns how long the newest of them
    /// took, or `None` if none of them was pending.
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

    /// Records that the entries from `index` on were removed, so that pending batches no longer make them durable.
    pub(super) fn truncate(&mut self, index: LogIndex) {
        let last = index - 1;
        self.synced = self.synced.min(last);
        for batch in self.unsynced.values_mut() {
            batch.last_index = batch.last_index.min(last);
        }
    }

    /// Records that a snapshot replaced the whole log and is not synced yet.
    pub(super) fn reset(&mut self) {
        self.unsynced.clear();
        self.synced = 0;
    }
}
