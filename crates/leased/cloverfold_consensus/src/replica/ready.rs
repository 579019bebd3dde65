//! The output of a replica.
//!
//! A replica performs no I/O. It collects the records to write, the messages to send and the entries to apply in a [`Ready`] batch, which
//! the caller obtains from [`Replica::take_ready`](crate::Replica::take_ready) and processes.

use crate::log_entries::{Entry, LogIndex, Snapshot};
use crate::members::ReplicaId;
use crate::messages::Message;
use crate::records::Record;

/// Number of a batch of records; increases over the lifetime of a [`Replica`](crate::Replica).
pub type BatchNumber = u64;

/// Identifies a read; chosen by the caller.
pub type ReadToken = u64;

/// A message to another replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
    /// Whether the message must wait until the records of its batch are synced.
    pub after_sync: bool,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The token of the read.
    pub token: ReadToken,
    /// The read may be answered once this entry is applied. `None` if it failed because this replica could not confirm its leadership.
    pub index: Option<LogIndex>,
}

/// Work for the caller, to be done in this order: write, send, apply. Messages with `after_sync` must wait until the batch is synced.
#[derive(Debug, Default)]
pub struct Ready {
    /// Number to pass to [`Replica::mark_synced`](crate::Replica::mark_synced) once `records` are synced; `None` without records.
    pub batch: Option<BatchNumber>,
    /// Records to append to the store and sync.
    pub records: Vec<Record>,
    /// Messages to send.
    pub messages: Vec<OutgoingMessage>,
    /// A snapshot that replaces the applied state.
    pub restored: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Outcomes of reads.
    pub reads: Vec<ReadOutcome>,
}
