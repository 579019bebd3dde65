//! The state of a control process.

mod applying;
mod orders;
mod peers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_base::ProcessClock;
use cloverfold_configuration::{AuditRecord, ConfigurationState, Version};
use cloverfold_consensus::{LogIndex, Outgoing, Replica, ReplicaId, Role};
use cloverfold_link::{LinkId, LinkSender};
use cloverfold_peer::{DialedPeers, Hello, PeerMessage, PeerRole};
use serde_json::json;
use tokio::sync::{oneshot, watch};

use crate::disk::Disk;

/// How often every process is told which version holds.
const NOTICE_INTERVAL: Duration = Duration::from_millis(500);
/// Without a sign of its group for this long, this process may not know the newest version.
const FRESH_SPAN: Duration = Duration::from_millis(800);
/// How long an entry that is gone is still named to guards.
const ENTRY_MEMORY: Duration = Duration::from_secs(20);
/// Writes that are slower than this are logged.
const SLOW_WRITE: Duration = Duration::from_millis(250);

/// A link and who is at its other end.
struct Link {
    sender: LinkSender<PeerMessage>,
    dialed: bool,
    hello: Option<Hello>,
}

/// An entry, and since when it is gone.
struct KnownEntry {
    links: usize,
    gone_at: Option<Duration>,
}

/// The founding of a group, while it is not done.
pub(crate) struct Founding {
    /// All founders, this process included.
    pub(crate) seeds: Vec<SocketAddr>,
}

/// What a control process believes.
pub(crate) struct ControlState {
    clock: ProcessClock,
    own: Hello,
    replica_id: ReplicaId,
    replica: Replica,
    state: ConfigurationState,
    disk: Disk,
    dialed: DialedPeers,
    links: HashMap<LinkId, Link>,
    replica_links: HashMap<ReplicaId, LinkId>,
    entries: BTreeMap<SocketAddr, KnownEntry>,
    controls: BTreeSet<SocketAddr>,
    founding: Option<Founding>,
    /// Messages that wait for a batch to be synced.
    held_messages: BTreeMap<u64, Vec<Outgoing>>,
    writes: BTreeMap<u64, Duration>,
    proposed: HashMap<Version, LogIndex>,
    next_token: u64,
    own_reads: HashMap<u64, oneshot::Sender<Option<LogIndex>>>,
    peer_reads: HashMap<u64, (LinkId, u64)>,
    applied: watch::Sender<LogIndex>,
    version: watch::Sender<Version>,
    noticed_at: Duration,
    is_told_fresh: bool,
    believed: (u64, Role, Option<ReplicaId>),
}

impl ControlState {
    pub(crate) fn new(
        own: Hello,
        replica_id: ReplicaId,
        replica: Replica,
        disk: Disk,
        dialed: DialedPeers,
        founding: Option<Founding>,
    ) -> Self {
        let believed = (0, Role::Follower, None);
        Self {
            clock: ProcessClock::default(),
            own,
            replica_id,
            replica,
            state: ConfigurationState::default(),
            disk,
            dialed,
            links: HashMap::new(),
            replica_links: HashMap::new(),
            entries: BTreeMap::new(),
            controls: BTreeSet::new(),
            founding,
            held_messages: BTreeMap::new(),
            writes: BTreeMap::new(),
            proposed: HashMap::new(),
            next_token: 1,
            own_reads: HashMap::new(),
            peer_reads: HashMap::new(),
            applied: watch::Sender::new(0),
            version: watch::Sender::new(0),
            noticed_at: Duration::ZERO,
            is_told_fresh: false,
            believed,
        }
    }

    /// Dials the seeds and takes up the state on disk.
    pub(crate) fn begin(&mut self, seeds: &[SocketAddr]) {
        self.dial_seeds(seeds);
        self.advance();
    }

    /// Dials further seeds; those of earlier settings are kept.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.controls.insert(*seed);
            self.dialed.add(*seed);
        }
    }

    pub(crate) fn follow_version(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    pub(crate) fn follow_applied(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    pub(crate) fn current_text(&self) -> Option<Vec<u8>> {
        self.state.current().map(|held| held.text.to_vec())
    }

    pub(crate) fn audit(&self) -> Vec<AuditRecord> {
        self.state.audit().cloned().collect()
    }

    pub(crate) fn held_version(&self) -> Version {
        self.state.version()
    }

    pub(crate) fn term(&self) -> u64 {
        self.replica.status().term
    }

    pub(crate) fn is_fresh(&self) -> bool {
        self.replica
            .has_quorum_contact(FRESH_SPAN, self.clock.now().since_start())
    }

    pub(crate) fn describe(&self) -> serde_json::Value {
        let status = self.replica.status();
        let voters = status.members.voters.iter();
        let voters: Vec<_> = voters
            .map(|member| json!({ "replica": format!("{:016x}", member.id), "address": member.address }))
            .collect();
        json!({
            "name": self.own.name,
            "replica": format!("{:016x}", status.id),
            "role": status.role.as_str().to_lowercase(),
            "term": status.term,
            "leader": status.leader.map(|id| format!("{id:016x}")),
            "is_fresh": self.is_fresh(),
            "voters": voters,
            "last_index": status.last_index,
            "commit": status.commit,
            "version": self.state.version(),
            "processes": self.describe_processes(),
        })
    }

    /// Describes the processes in touch, each once, with the version in force there.
    fn describe_processes(&self) -> Vec<serde_json::Value> {
        let hellos = self.links.values().filter_map(|link| link.hello.as_ref());
        let by_name: BTreeMap<&str, &Hello> =
            hellos.map(|hello| (hello.name.as_str(), hello)).collect();
        let describe = |hello: &Hello| {
            let role = match hello.role {
                PeerRole::Entry => "entry",
                PeerRole::Guard => "guard",
                PeerRole::Control { .. } => "control",
            };
            json!({ "name": hello.name, "role": role, "address": hello.address, "version": hello.version })
        };
        by_name.into_values().map(describe).collect()
    }

    /// Does what has fallen due.
    pub(crate) fn tick(&mut self) {
        let now = self.clock.now().since_start();
        self.replica.tick(now);
        self.try_to_found();
        self.advance();
        let gone = |entry: &KnownEntry| entry.gone_at.is_some_and(|at| now > at + ENTRY_MEMORY);
        let known = self.entries.len();
        self.entries.retain(|_, entry| !gone(entry));
        if self.entries.len() != known {
            self.send_directory();
        }
        let is_fresh = self.is_fresh();
        if now >= self.noticed_at + NOTICE_INTERVAL || is_fresh != self.is_told_fresh {
            self.send_notice();
        }
        self.log_slow_writes(now);
    }
}
