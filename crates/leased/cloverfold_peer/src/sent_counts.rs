//! Counters of sent messages and bytes, by kind of message.

use std::sync::atomic::{AtomicU64, Ordering};

use cloverfold_lease::{DispatcherMessage, RunnerMessage};

use crate::messages::PeerMessage;

/// Kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Hello,
    Echo,
    Assign,
    Withdraw,
    Heartbeat,
    FreeCapacity,
    Target,
    Ended,
    VersionNotice,
    Fetch,
    Configuration,
    Directory,
    Invite,
    Consensus,
    Proposal,
    Read,
    ReadReply,
    Goodbye,
    EvacuationOrder,
    Evacuations,
    DialControls,
    AssignKept,
    UsualSpeed,
    JobGroups,
    JobCall,
    JobReply,
    JobConsensus,
    UpkeepCommand,
    HoldTarget,
    RememberedSpeed,
    FetchSince,
    ConfigurationChange,
    Started,
    TargetNeeds,
}

impl MessageKind {
    /// All kinds, in the order of their declaration.
    const ALL: [Self; 34] = [
        Self::Hello,
        Self::Echo,
        Self::Assign,
        Self::Withdraw,
        Self::Heartbeat,
        Self::FreeCapacity,
        Self::Target,
        Self::Ended,
        Self::VersionNotice,
        Self::Fetch,
        Self::Configuration,
        Self::Directory,
        Self::Invite,
        Self::Consensus,
        Self::Proposal,
        Self::Read,
        Self::ReadReply,
        Self::Goodbye,
        Self::EvacuationOrder,
        Self::Evacuations,
        Self::DialControls,
        Self::AssignKept,
        Self::UsualSpeed,
        Self::JobGroups,
        Self::JobCall,
        Self::JobReply,
        Self::JobConsensus,
        Self::UpkeepCommand,
        Self::HoldTarget,
        Self::RememberedSpeed,
        Self::FetchSince,
        Self::ConfigurationChange,
        Self::Started,
        Self::TargetNeeds,
    ];

    pub(crate) fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Hello(_) => Self::Hello,
            PeerMessage::ToRunner(DispatcherMessage::Echo { .. }) => Self::Echo,
            PeerMessage::ToRunner(DispatcherMessage::Assign(_)) => Self::Assign,
            PeerMessage::ToRunner(DispatcherMessage::Withdraw { .. }) => Self::Withdraw,
            PeerMessage::ToDispatcher(RunnerMessage::Heartbeat { .. }) => Self::Heartbeat,
            PeerMessage::ToDispatcher(RunnerMessage::FreeCapacity(_)) => Self::FreeCapacity,
            PeerMessage::ToDispatcher(RunnerMessage::Target(_)) => Self::Target,
            PeerMessage::ToDispatcher(RunnerMessage::Ended { .. }) => Self::Ended,
            PeerMessage::ToDispatcher(RunnerMessage::Started(_)) => Self::Started,
            PeerMessage::VersionNotice { .. } => Self::VersionNotice,
            PeerMessage::Fetch => Self::Fetch,
            PeerMessage::Configuration(_) => Self::Configuration,
            PeerMessage::Directory(_) => Self::Directory,
            PeerMessage::Invite { .. } => Self::Invite,
            PeerMessage::Consensus(_) => Self::Consensus,
            PeerMessage::Proposal(_) => Self::Proposal,
            PeerMessage::Read { .. } => Self::Read,
            PeerMessage::ReadReply { .. } => Self::ReadReply,
            PeerMessage::Goodbye => Self::Goodbye,
            PeerMessage::EvacuationOrder(_) => Self::EvacuationOrder,
            PeerMessage::Evacuations(_) => Self::Evacuations,
            PeerMessage::DialControls(_) => Self::DialControls,
            PeerMessage::ToRunner(DispatcherMessage::AssignKept(_)) => Self::AssignKept,
            PeerMessage::ToDispatcher(RunnerMessage::UsualSpeed(_)) => Self::UsualSpeed,
            PeerMessage::JobGroups(_) => Self::JobGroups,
            PeerMessage::JobCall(_) => Self::JobCall,
            PeerMessage::JobReply(_) => Self::JobReply,
            PeerMessage::JobConsensus { .. } => Self::JobConsensus,
            PeerMessage::UpkeepCommand(_) => Self::UpkeepCommand,
            PeerMessage::HoldTarget(_) => Self::HoldTarget,
            PeerMessage::RememberedSpeed(_) => Self::RememberedSpeed,
            PeerMessage::FetchSince { .. } => Self::FetchSince,
            PeerMessage::ConfigurationChange(_) => Self::ConfigurationChange,
            PeerMessage::TargetNeeds(_) => Self::TargetNeeds,
        }
    }

    /// Returns the name of the kind in the metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Echo => "echo",
            Self::Assign => "assign",
            Self::Withdraw => "withdraw",
            Self::Heartbeat => "heartbeat",
            Self::FreeCapacity => "free_capacity",
            Self::Target => "target",
            Self::Ended => "ended",
            Self::VersionNotice => "version_notice",
            Self::Fetch => "fetch",
            Self::Configuration => "configuration",
            Self::Directory => "directory",
            Self::Invite => "invite",
            Self::Consensus => "consensus",
            Self::Proposal => "proposal",
            Self::Read => "read",
            Self::ReadReply => "read_reply",
            Self::Goodbye => "goodbye",
            Self::EvacuationOrder => "evacuation_order",
            Self::Evacuations => "evacuations",
            Self::DialControls => "dial_controls",
            Self::AssignKept => "assign_kept",
            Self::UsualSpeed => "usual_speed",
            Self::JobGroups => "job_groups",
            Self::JobCall => "job_call",
            Self::JobReply => "job_reply",
            Self::JobConsensus => "job_consensus",
            Self::UpkeepCommand => "upkeep_command",
            Self::HoldTarget => "hold_target",
            Self::RememberedSpeed => "remembered_speed",
            Self::FetchSince => "fetch_since",
            Self::ConfigurationChange => "configuration_change",
            Self::Started => "started",
            Self::TargetNeeds => "target_needs",
        }
    }
}

/// Counters of one kind; bytes include the frame headers.
#[derive(Debug, Default)]
struct KindCount {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Messages and bytes that a process has sent since its start, by kind.
#[derive(Debug)]
pub struct SentCounts {
    /// In the order of [`MessageKind::ALL`].
    by_kind: [KindCount; MessageKind::ALL.len()],
}

impl Default for SentCounts {
    fn default() -> Self {
        Self {
            by_kind: std::array::from_fn(|_| KindCount::default()),
        }
    }
}

/// Totals of one kind of message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentTotals {
    /// Name of the kind in the metrics.
    pub kind: &'static str,
    /// Number of messages.
    pub messages: u64,
    /// Number of bytes, including frame headers.
    pub bytes: u64,
}

impl SentCounts {
    /// Records a message that was queued as a frame of `frame_len` bytes.
    pub(crate) fn record(&self, kind: MessageKind, frame_len: usize) {
        let count = &self.by_kind[kind as usize];
        count.messages.fetch_add(1, Ordering::Relaxed);
        count.bytes.fetch_add(frame_len as u64, Ordering::Relaxed);
    }

    /// Returns the totals of each kind.
    pub fn iter(&self) -> impl Iterator<Item = SentTotals> {
        let counts = MessageKind::ALL.into_iter().zip(&self.by_kind);
        counts.map(|(kind, count)| SentTotals {
            kind: kind.as_str(),
            messages: count.messages.load(Ordering::Relaxed),
            bytes: count.bytes.load(Ordering::Relaxed),
        })
    }
}
