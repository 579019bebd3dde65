//! Batches that are not synced yet and the messages that wait for them.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_consensus::{BatchNumber, OutgoingMessage};

/// Time after which an unsynced write is logged as slow; repeated at the same interval.
const SLOW_WRITE_THRESHOLD: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct PendingWrite {
    /// When the write began.
    begun_at: Timestamp,
    /// When the write began or was last logged as slow.
    since: Timestamp,
    /// Messages to send once the batch is synced.
    messages: Vec<OutgoingMessage>,
}

/// The batches in flight, by number.
#[derive(Debug, Default)]
pub(crate) struct PendingWrites {
    writes: BTreeMap<BatchNumber, PendingWrite>,
}

impl PendingWrites {
    /// Adds a batch that was queued for the disk, with the messages that must wait for it.
    pub(crate) fn add(
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

    /// Removes a synced batch and all earlier ones; returns the messages that waited for them, in order.
    pub(crate) fn finish(
        &mut self,
        batch: BatchNumber,
    ) -> impl Iterator<Item = OutgoingMessage> + use<> {
        let later = self.writes.split_off(&(batch + 1));
        let synced = std::mem::replace(&mut self.writes, later);
        synced.into_values().flat_map(|write| write.messages)
    }

    /// Returns when the oldest unsynced batch was queued; `None` if all are synced.
    pub(crate) fn oldest_begun_at(&self) -> Option<Timestamp> {
        let oldest = self.writes.values().next()?;
        Some(oldest.begun_at)
    }

    pub(crate) fn log_slow(&mut self, now: Timestamp) {
        for (batch, write) in &mut self.writes {
            if now > write.since + SLOW_WRITE_THRESHOLD {
                let waited = now.saturating_duration_since(write.since);
                log::warn!(batch, waited_ms = waited.as_millis() as u64; "a write to the log is not synced yet");
                write.since = now;
            }
        }
    }
}
