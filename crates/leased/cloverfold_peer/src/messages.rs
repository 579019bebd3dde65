//! Wire format of the messages between processes.
//!
//! Messages are encoded with postcard, which identifies variants by their index and fields by their order, so neither may change;
//! `compatibility/` holds recorded bytes of each message. A message that older builds cannot decode is sent only to peers whose
//! [`Hello`] reports a [`ProtocolVersion`] that supports it.

use std::net::SocketAddr;

use cloverfold_configuration::{ConfigurationDelta, Proposal, StoredConfiguration, Version};
use cloverfold_consensus::{LogIndex, Message, ReplicaId};
use cloverfold_evacuation::{DataHall, EvacuatedHalls, EvacuationOrder};
use cloverfold_kept_jobs::{GroupId, JobCallMessage, JobGroups, JobReplyMessage};
use cloverfold_lease::{DispatcherMessage, RunnerMessage, TargetNeed, UsualSpeed};
use cloverfold_upkeep::{TargetHold, UpkeepCommand};
use serde::{Deserialize, Serialize};

use crate::trailing::Trailing;

/// Version of the peer protocol that a build supports.
///
/// | since version | messages |
/// |---|---|
/// | 1 | [`PeerMessage::Evacuations`], [`PeerMessage::EvacuationOrder`], [`cloverfold_lease::RunRefusal::Evacuated`] |
/// | 2 | [`PeerMessage::JobGroups`] and the variants after it, [`DispatcherMessage::AssignKept`], [`RunnerMessage::UsualSpeed`] |
/// | 3 | [`PeerMessage::FetchSince`], [`PeerMessage::ConfigurationChange`] |
/// | 4 | [`RunnerMessage::Started`] |
/// | 5 | [`PeerMessage::TargetNeeds`] |
///
/// Older builds report no version.
pub type ProtocolVersion = u32;

/// Protocol version of this build.
pub const PROTOCOL_VERSION: ProtocolVersion = 5;
/// First version that supports the messages about evacuations.
const EVACUATIONS_SINCE: ProtocolVersion = 1;
/// First version that supports the messages about kept jobs, planned upkeep and target speeds.
const KEPT_JOBS_SINCE: ProtocolVersion = 2;
/// First version that supports configuration deltas.
const CONFIGURATION_DELTAS_SINCE: ProtocolVersion = 3;
/// First version that supports reports of started runs.
const START_REPORTS_SINCE: ProtocolVersion = 4;
/// First version that supports requests for targets.
const TARGET_NEEDS_SINCE: ProtocolVersion = 5;

/// The role of a process in its installation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRole {
    /// Leased entry: serves callers.
    Entry,
    /// Leased guard: runs tasks on one target.
    Guard,
    /// Control process: replicates the configuration.
    Control {
        /// Replica ID, stored on the disk of the process.
        replica: ReplicaId,
        /// Whether its log is empty, which means that it was never a member of a group.
        has_empty_log: bool,
    },
}

/// Identifies the sender; the first message in each direction of a link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Name of the process, stable across restarts.
    pub name: String,
    /// Role of the process.
    pub role: PeerRole,
    /// Address on which the process accepts links.
    pub address: SocketAddr,
    /// Version of the configuration in force at the sender; 0 if it has none.
    pub version: Version,
    /// Fields that older builds do not send.
    pub details: Trailing<PeerDetails>,
}

/// Later additions to [`Hello`]. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerDetails {
    /// Protocol version that its build supports.
    pub protocol: ProtocolVersion,
    /// Data hall of the process.
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
    /// Returns the data hall of the process; `None` if its build does not report one.
    pub fn data_hall(&self) -> Option<&DataHall> {
        let details = self.details.0.as_ref();
        details.map(|details| &details.data_hall)
    }

    /// Returns whether the process supports the messages about evacuations.
    pub fn supports_evacuations(&self) -> bool {
        self.supports(EVACUATIONS_SINCE)
    }

    /// Returns whether the process supports the messages about kept jobs, planned upkeep and target speeds.
    pub fn supports_kept_jobs(&self) -> bool {
        self.supports(KEPT_JOBS_SINCE)
    }

    /// Returns whether the process supports configuration deltas.
    pub fn supports_configuration_deltas(&self) -> bool {
        self.supports(CONFIGURATION_DELTAS_SINCE)
    }

    /// Returns whether the process supports reports of started runs.
    pub fn supports_start_reports(&self) -> bool {
        self.supports(START_REPORTS_SINCE)
    }

    /// Returns whether the process supports requests for targets.
    pub fn supports_target_needs(&self) -> bool {
        self.supports(TARGET_NEEDS_SINCE)
    }

    fn supports(&self, version: ProtocolVersion) -> bool {
        let details = self.details.0.as_ref();
        details.is_some_and(|details| details.protocol >= version)
    }
}

/// Addresses on which processes accept links.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Entries assigned to the receiver, if it is a guard; empty for an entry.
    pub entries: Vec<SocketAddr>,
    /// The control processes.
    pub controls: Vec<SocketAddr>,
}

/// A message between two processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Identifies the sender.
    Hello(Hello),
    /// From an entry's dispatcher to a guard's runner.
    ToRunner(DispatcherMessage),
    /// From a guard's runner to an entry's dispatcher; the description of the target also goes to control processes.
    ToDispatcher(RunnerMessage),
    /// Announces the configuration version in force at the sender; a receiver with an older one may fetch it.
    VersionNotice {
        /// The version in force at the sender.
        version: Version,
        /// Whether the sender is a control process that is connected to a quorum; always `false` from entries and guards.
        has_quorum: bool,
    },
    /// Requests the configuration in force at the receiver; a receiver without one does not reply.
    Fetch,
    /// Configuration in force at the sender.
    Configuration(StoredConfiguration),
    /// From a control process to entries and guards: the addresses that they dial.
    Directory(Directory),
    /// From an entry to a disconnected guard: asks the guard to dial it.
    Invite {
        /// Address on which the entry accepts links.
        entry: SocketAddr,
    },
    /// Message of the replicated log, between control processes.
    Consensus(Message),
    /// From a control process to the leader: a configuration to append to the log. There is no reply.
    Proposal(Proposal),
    /// From a control process to the leader: requests the commit index, which the leader returns after it has confirmed its leadership.
    Read {
        /// Request ID chosen by the sender; the reply repeats it.
        token: u64,
    },
    /// Reply to [`Self::Read`].
    ReadReply {
        /// Request ID.
        token: u64,
        /// Index up to which the requesting process must have applied the log before it serves the read; `None` if the request failed
        /// and must be retried.
        index: Option<LogIndex>,
    },
    /// From a guard to an entry that is no longer assigned to it, after the last run of the entry has ended. The entry closes the link
    /// and stops inviting the guard.
    Goodbye,
    /// From a control process to the leader: an evacuation order to append to the log. There is no reply.
    EvacuationOrder(EvacuationOrder),
    /// Evacuated data halls known to the sender; a receiver with an older revision adopts them. From entries and guards to control
    /// processes the message is also an acknowledgement of the revision.
    Evacuations(EvacuatedHalls),
    /// From a restarted control process to an entry or guard that it stored, on a connection for this message alone: asks it to dial
    /// these control processes. Older builds close the connection.
    DialControls(Vec<SocketAddr>),
    /// From a control process: the groups that replicate kept jobs, sent to each process that connects and when the groups are created.
    JobGroups(JobGroups),
    /// Call to a group, from an entry or guard to a control process, which forwards it to the leader of the group.
    JobCall(JobCallMessage),
    /// Reply to a call, sent back along the same path.
    JobReply(JobReplyMessage),
    /// Message of a group's replicated log, between control processes.
    JobConsensus {
        /// The group.
        group: GroupId,
        /// The message.
        message: Message,
    },
    /// From a control process to the leader: a command about upkeep waves to append to the log. There is no reply.
    UpkeepCommand(UpkeepCommand),
    /// From a control process to a guard: drain the target before the upkeep of its box.
    HoldTarget(TargetHold),
    /// From a control process to a guard that has just connected: the target speed that the guard reported before it restarted.
    RememberedSpeed(UsualSpeed),
    /// Like [`Self::Fetch`], from a process that has an older configuration: the reply may be a delta from that version.
    FetchSince {
        /// The version in force at the sender.
        known: Version,
    },
    /// Delta from the configuration of the receiver to the one in force at the sender.
    ConfigurationChange(ConfigurationDelta),
    /// From an entry to a control process: the targets that its kept jobs need beyond its subset. Replaces the previous message.
    TargetNeeds(Vec<TargetNeed>),
}
