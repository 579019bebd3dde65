//! Messages between processes, as they stand on the wire.
//!
//! The bytes are postcard's: variants are told apart by their position and fields by their order, so neither is ever changed
//! (`compatibility/` holds recorded bytes of each message). What a build before it cannot read is sent only to a peer whose [`Hello`]
//! names a [`ProtocolVersion`] that has it. Owns nothing; relies on the message types of `cloverfold_lease`, `cloverfold_consensus`,
//! `cloverfold_configuration`, `cloverfold_evacuation`, `cloverfold_kept_jobs` and `cloverfold_upkeep`.

use std::net::SocketAddr;

use cloverfold_configuration::{ConfigurationDelta, Proposal, StoredConfiguration, Version};
use cloverfold_consensus::{LogIndex, Message, ReplicaId};
use cloverfold_evacuation::{DataHall, EvacuatedHalls, EvacuationOrder};
use cloverfold_kept_jobs::{GroupId, JobCallMessage, JobGroups, JobReplyMessage};
use cloverfold_lease::{DispatcherMessage, RunnerMessage, UsualSpeed};
use cloverfold_upkeep::{HeldTarget, UpkeepCommand};
use serde::{Deserialize, Serialize};

use crate::trailing::Trailing;

/// What a build can read. Builds that name none read neither [`PeerMessage::Evacuations`], [`PeerMessage::EvacuationOrder`] nor
/// [`RunRefusal::Evacuated`](cloverfold_lease::RunRefusal::Evacuated); builds of version 1 none of the messages from
/// [`PeerMessage::JobGroups`] on, nor [`DispatcherMessage::AssignKept`] and [`RunnerMessage::UsualSpeed`]; builds of version 2 neither
/// [`PeerMessage::FetchSince`] nor [`PeerMessage::ConfigurationChange`].
pub type ProtocolVersion = u32;

/// The version of this build.
pub const PROTOCOL_VERSION: ProtocolVersion = 3;
/// The first version that reads everything about evacuations.
const EVACUATIONS_SINCE: ProtocolVersion = 1;
/// The first version that reads everything about kept jobs, planned upkeep and usual speeds.
const KEPT_JOBS_SINCE: ProtocolVersion = 2;
/// The first version that reads changes of configurations.
const CONFIGURATION_CHANGES_SINCE: ProtocolVersion = 3;

/// The role of a process in its installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRole {
    /// A leased entry: serves callers.
    Entry,
    /// A leased guard: runs tasks on one target.
    Guard,
    /// A control process: keeps the configuration.
    Control {
        /// The identity of its disk.
        replica: ReplicaId,
        /// Whether its log is empty: it has never been part of a group.
        has_empty_log: bool,
    },
}

/// A process introduces itself; the first message each way on a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process, the same after a restart.
    pub name: String,
    /// Its role.
    pub role: PeerRole,
    /// The address on which it accepts links.
    pub address: SocketAddr,
    /// Version of the configuration in force there; 0 before the first.
    pub version: Version,
    /// What builds before it do not send.
    pub details: Trailing<PeerDetails>,
}

/// What a process tells of itself beyond its first fields. The order of the fields is the format on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDetails {
    /// What its build can read.
    pub protocol: ProtocolVersion,
    /// The data hall it stands in.
    pub data_hall: DataHall,
}

impl PeerDetails {
    /// Returns the details of a process of this build in a data hall.
    pub fn new(data_hall: &str) -> Self {
        Self {
            protocol: PROTOCOL_VERSION,
            data_hall: data_hall.into(),
        }
    }
}

impl Hello {
    /// Returns the data hall the process stands in; `None` from a build that does not tell it.
    pub fn data_hall(&self) -> Option<&DataHall> {
        let details = self.details.0.as_ref();
        details.map(|details| &details.data_hall)
    }

    /// Returns whether the process can read what is sent about evacuations.
    pub fn supports_evacuations(&self) -> bool {
        self.reads(EVACUATIONS_SINCE)
    }

    /// Returns whether the process can read what is sent about kept jobs, planned upkeep and usual speeds.
    pub fn supports_kept_jobs(&self) -> bool {
        self.reads(KEPT_JOBS_SINCE)
    }

    /// Returns whether the process can read what is sent about changes of configurations.
    pub fn supports_configuration_changes(&self) -> bool {
        self.reads(CONFIGURATION_CHANGES_SINCE)
    }

    fn reads(&self, version: ProtocolVersion) -> bool {
        let details = self.details.0.as_ref();
        details.is_some_and(|details| details.protocol >= version)
    }
}

/// Addresses at which processes accept links.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// The entries that the receiver works with, if it is a guard; an entry gets none.
    pub entries: Vec<SocketAddr>,
    /// The control processes.
    pub controls: Vec<SocketAddr>,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender introduces itself.
    Hello(Hello),
    /// From an entry's dispatcher to a guard's runner.
    ToRunner(DispatcherMessage),
    /// From a guard's runner to an entry's dispatcher; its target is also told to control processes.
    ToDispatcher(RunnerMessage),
    /// Announces the version in force at the sender; a receiver whose version is older may fetch it.
    VersionNotice {
        /// The version in force at the sender.
        version: Version,
        /// Whether the sender is a control process that is connected to a quorum; always `false` from entries and guards.
        has_quorum: bool,
    },
    /// Asks for the configuration in force at the receiver; one that has none doesn't answer.
    Fetch,
    /// The configuration in force at the sender.
    Configuration(StoredConfiguration),
    /// The addresses that a control process has, sent to entries and guards.
    Directory(Directory),
    /// From an entry to a guard that is no longer connected to it: asks to be dialed.
    Invite {
        /// The address on which the entry accepts links.
        entry: SocketAddr,
    },
    /// A message of the replicated log, between control processes.
    Consensus(Message),
    /// From a control process to the leader: a configuration to append to the log. It is not answered.
    Proposal(Proposal),
    /// From a control process to the leader: asks for the committed index, with proof that the receiver still leads.
    Read {
        /// Number of the read, chosen by the sender; the reply echoes it.
        token: u64,
    },
    /// The answer to a read.
    ReadReply {
        /// As in the request.
        token: u64,
        /// Index up to which the asking process must have applied the log before it answers; `None` if the read failed and must be
        /// repeated.
        index: Option<LogIndex>,
    },
    /// From a guard to an entry: the guard works with other entries from now on and has nothing of this one left. The entry closes the
    /// link and does not invite the guard any more.
    Goodbye,
    /// From a control process to the leader: an order on a data hall to append to the log. It is not answered.
    EvacuationOrder(EvacuationOrder),
    /// The evacuated data halls as the sender knows them; a receiver that knows an older revision takes them over. Entries and guards
    /// send them to control processes too, which record that they know them.
    Evacuations(EvacuatedHalls),
    /// From a control process that has restarted to an entry or guard that it remembers, on a link for this message alone: asks to dial
    /// these control processes. An older build closes the link.
    DialControls(Vec<SocketAddr>),
    /// From a control process: the groups that keep jobs, told to each process that connects and once they are agreed on.
    JobGroups(JobGroups),
    /// A call to a group, from an entry or guard to a control process, and from there to the group's leader.
    JobCall(JobCallMessage),
    /// The reply to a call, along the way that the call came.
    JobReply(JobReplyMessage),
    /// A message of a group's log, between control processes.
    JobConsensus {
        /// The group.
        group: GroupId,
        /// The message.
        message: Message,
    },
    /// From a control process to the leader: a change of the waves of upkeep to append to the log. It is not answered.
    UpkeepCommand(UpkeepCommand),
    /// From a control process to a guard: its target is to be emptied for its upkeep.
    HoldTarget(HeldTarget),
    /// From a control process to a guard that has just connected: what it told of its target's usual speed before it restarted.
    RememberedSpeed(UsualSpeed),
    /// As [`Self::Fetch`], from a process that has an older configuration: the answer may be the change since that one.
    FetchSince {
        /// The version in force at the sender.
        known: Version,
    },
    /// How to make the configuration in force at the sender from the one that the receiver has.
    ConfigurationChange(ConfigurationDelta),
}
