//! The replicated log of the control processes.
//!
//! [`Replica`] is the state machine: terms, pre-vote, votes, log, commit, snapshots, changes of members one at a time. It owns its copy
//! of the log in memory and has no I/O and no clock; what it wants written and sent comes out as a [`Ready`] batch. [`Store`] owns the
//! file of a replica, in checksummed records, and is used from a thread of its own, since a sync may hang for seconds.
//!
//! Relies on the process around a replica to keep these rules:
//!
//! - records are written in order, and [`Replica::mark_synced`] is called only after they were synced;
//! - messages marked [`OutgoingMessage::after_sync`] wait for the records of their batch;
//! - a replica that starts with an empty disk gets a new identity ([`ReplicaId`]) and votes only after the group has added it.

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
