//! What processes say to each other.

use std::net::SocketAddr;

use cloverfold_configuration::{Proposal, StoredConfiguration, Version};
use cloverfold_consensus::{LogIndex, Message, ReplicaId};
use cloverfold_lease::{DispatcherMessage, RunnerMessage};
use serde::{Deserialize, Serialize};

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRole {
    /// It serves callers.
    Entry,
    /// It stands beside a target.
    Guard,
    /// It keeps the configuration.
    Control {
        /// The identity of its disk.
        replica: ReplicaId,
        /// Whether its log is empty: it has never been part of a group.
        has_empty_log: bool,
    },
}

/// Who speaks; the first message each way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process, the same over its lives.
    pub name: String,
    /// What it does.
    pub role: PeerRole,
    /// Where it listens to peers.
    pub address: SocketAddr,
    /// The configuration in force there.
    pub version: Version,
}

/// Where processes are reached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The entries.
    pub entries: Vec<SocketAddr>,
    /// The control processes.
    pub controls: Vec<SocketAddr>,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who speaks.
    Hello(Hello),
    /// From an entry to a guard.
    ToRunner(DispatcherMessage),
    /// From a guard to an entry.
    ToDispatcher(RunnerMessage),
    /// The sender has this version. `is_fresh` is said by control processes that are in touch with their leader.
    Holding {
        /// The version in force at the sender.
        version: Version,
        /// Whether the sender is in touch with a majority of the control processes.
        is_fresh: bool,
    },
    /// Asks for the configuration.
    Fetch,
    /// The configuration in force at the sender.
    Configuration(StoredConfiguration),
    /// Where processes are reached.
    Directory(Directory),
    /// From an entry to a guard that it has lost: dial me.
    Invite {
        /// Where the entry listens.
        entry: SocketAddr,
    },
    /// Between control processes.
    Consensus(Message),
    /// From a control process to the leader.
    Proposal(Proposal),
    /// From a control process to the leader: prove that you lead and say up to where all is committed.
    Read {
        /// To be echoed.
        token: u64,
    },
    /// The answer to a read; without a place it is not proved.
    ReadReply {
        /// As asked.
        token: u64,
        /// Up to where the asker must have applied the log.
        index: Option<LogIndex>,
    },
}
