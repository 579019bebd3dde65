//! Batches that the disk has not synced yet, and the messages that wait for them.
//!
//! Owns the batches under way. Relies on the disk's thread, which syncs batches in order.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{BatchNumber, OutgoingMessage};

/// Time after which a write that is not synced is logged as slow, and logged again after each further span. Chosen, not measured.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct PendingWrite {
    /// When the write began.
    begun_at: Timestamp,
    /// When the write began or was last logged as slow.
    since: Timestamp,
    /// Messages that may be sent once the batch is synced.
    messages: Vec<OutgoingMessage>,
}

/// The batches that are being written, by number.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    writes: BTreeMap<BatchNumber, PendingWrite>,
}

impl PendingWrites {
    /// Adds a batch that is handed to the disk, with the messages that must wait for it.
    pub(crate) fn begin(
        &mut self,
        batch: BatchNumber,
        messages: Vec<OutgoingMessage>,
        now: Timestamp,
    ) {
        let write = PendingWrite {
            begun_at: now,
            since: now,
            messages,
        };
        self.writes.insert(batch, write);
    }

    /// Removes a batch and all before it, which are synced; returns the messages that waited for them, in order.
    pub(crate) fn finish(
        &mut self,
        batch: BatchNumber,
    ) -> impl Iterator<Item = OutgoingMessage> + use<> {
        let later = self.writes.split_off(&(batch + 1));
        let synced = std::mem::replace(&mut self.writes, later);
        synced.into_values().flat_map(|write| write.messages)
    }

    /// Returns when the oldest batch that is not synced was handed to the disk; `None` if all are synced.
    pub(crate) fn oldest_begun_at(&self) -> Option<Timestamp> {
        let oldest = self.writes.values().next()?;
        Some(oldest.begun_at)
    }

    /// Logs the writes that are slow.
    pub(crate) fn log_slow(&mut self, now: Timestamp) {
        for (batch, write) in &mut self.writes {
            if now > write.since + SLOW_WRITE_THRESHOLD {
                let waited = now.saturating_duration_since(write.since);
                log::warn!(batch, waited_ms = waited.as_millis() as u64; "the disk is slow");
                write.since = now;
            }
        }
    }
}
