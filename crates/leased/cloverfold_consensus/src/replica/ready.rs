//! What a replica wants done.
//!
//! A replica has no I/O. It collects the records to write, the messages to send and the entries to apply in a [`Ready`] batch,
//! which the process gets from [`Replica::take_ready`](crate::Replica::take_ready) and carries out.

use crate::log_entries::{Entry, LogIndex, Snapshot};
use crate::members::ReplicaId;
use crate::messages::Message;
use crate::records::Record;

/// Number of a batch of records; rises within the life of a replica.
pub type BatchNumber = u64;

/// Number by which the process recognises a read; chosen by the process.
pub type ReadToken = u64;

/// A message to another replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingMessage {
    /// The receiver.
    pub to: ReplicaId,
    /// The message.
    pub message: Message,
    /// Whether it must wait until the records of its batch are synced.
    pub after_sync: bool,
}

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadOutcome {
    /// The token of the read.
    pub token: ReadToken,
    /// The read may be answered once this entry is applied; `None` if it failed, since this replica could not prove that it leads.
    pub index: Option<LogIndex>,
}

/// What a replica wants done, in this order: write, send, apply. Messages with `after_sync` are sent only once the batch is synced.
#[derive(Debug, Default)]
pub struct Ready {
    /// Number to pass to [`Replica::mark_synced`](crate::Replica::mark_synced) once `records` are synced; `None` without records.
    pub batch: Option<BatchNumber>,
    /// To be appended to the store and synced.
    pub records: Vec<Record>,
    /// To be sent.
    pub messages: Vec<OutgoingMessage>,
    /// The state that replaces what was applied so far.
    pub restored: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that succeeded or failed.
    pub reads: Vec<ReadOutcome>,
}
