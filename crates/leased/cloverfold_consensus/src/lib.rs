//! Raft consensus: the replicated log of the control processes.
//!
//! [`Replica`] is the state machine: terms, pre-vote, elections, log replication, commit, snapshots and single-server membership changes.
//! It keeps its log in memory, performs no I/O and reads no clock; a [`Ready`] batch holds what the caller must write, send and apply.
//! [`Store`] persists the records of one replica in a checksummed file. Use it from a dedicated thread, because a sync can block for
//! seconds.
//!
//! The caller must keep these rules:
//!
//! - it writes records in order, and calls [`Replica::mark_synced`] only after they are synced;
//! - it sends a message with [`OutgoingMessage::after_sync`] only once the records of its batch are synced;
//! - it gives a replica with an empty disk a new [`ReplicaId`]; the replica votes only after the group has added it.

#![warn(clippy::disallowed_methods)]

mod log_entries;
mod members;
mod messages;
mod record_codec;
mod records;
mod replica;
mod store;

pub use log_entries::{Entry, LogIndex, Payload, Snapshot, Term};
pub use members::{Member, Members, ReplicaId};
pub use messages::{
    AppendEntries, AppendReply, InstallSnapshot, Message, SnapshotPart, VoteReply, VoteRequest,
};
pub use records::{DiskIdentity, Record, RecoveredState};
pub use replica::{
    BatchNumber, OutgoingMessage, ProposeError, ReadOutcome, ReadToken, Ready, Replica,
    ReplicaConfig, ReplicaStatus, Role,
};
pub use store::{Store, StoreError};
