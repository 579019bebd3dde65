//! The replicated log of the control processes.
//!
//! [`Replica`] is the state machine: terms, pre-vote, votes, log, commit, snapshots, changes of members one at
//! a time. It has no I/O and no clock; what it wants written and sent comes out as a [`Ready`] batch. [`Store`] keeps
//! its state in checksummed records and is used from a thread of its own, since a sync may hang for seconds.
//!
//! Rules that the process around a replica keeps:
//!
//! - records are written in order, and [`Replica::persisted`] is called only after they were synced;
//! - messages marked [`Outgoing::after_sync`] wait for the records of their batch;
//! - a replica that starts with an empty disk gets a new identity ([`ReplicaId`]) and is no member before it was added.

mod log_entries;
mod members;
mod messages;
mod replica;
mod store;

pub use log_entries::{Entry, LogIndex, Payload, Snapshot, Term};
pub use members::{Member, Members, ReplicaId};
pub use messages::{Append, AppendReply, InstallSnapshot, Message, Vote, VoteReply};
pub use replica::{Outgoing, ProposeError, Ready, Replica, ReplicaConfig, ReplicaStatus, Role};
pub use store::{Record, RecoveredState, Store, StoreError};
