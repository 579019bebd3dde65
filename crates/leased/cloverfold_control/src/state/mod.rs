//! The state of a control process.
//!
//! [`ControlState`] reacts to links, ticks, the disk and operators. It owns the replica of the log, the configuration and audit trail that
//! the log yields, the links to all peers, and what waits for a proof. It relies on `cloverfold_consensus` for every decision about the
//! log, on [`ReplicaHost`] for writing, and on `cloverfold_peer` for links.
//!
//! | file | duty |
//! |---|---|
//! | `applying` | what the replica wants done, and what the group has decided |
//! | `bootstrap` | when the group begins |
//! | `replicated` | what the log yields, and the commands in it |
//! | `proposals`, `evacuations`, `appended`, `reads`, `pending_reads` | calls of operators, here and at the leader |
//! | `upkeep` | waves of upkeep: their orders, and the holder at the leader |
//! | `upkeep_targets` | what guards are told before an upkeep, and tell of their load |
//! | `peers` | links to the other processes |
//! | `notices` | when entries and guards are told the version in force |
//! | `directories`, `known_peers` | which addresses entries and guards are told |
//! | `memory` | which entries and guards are remembered over a restart, and invited after it |
//! | `founding` | when the groups that keep jobs are agreed on |
//! | `hosted_jobs`, `jobs` | the groups that are hosted here |
//! | `job_calls`, `job_relays` | calls to groups |
//! | `status` | what operators are shown |

mod apply;
mod bootstrap;
mod directories;
mod evacuations;
mod founding;
mod hosted_jobs;
mod job_calls;
mod job_relays;
mod jobs;
mod known_peers;
mod notices;
mod peer_store;
mod peers;
mod pending_reads;
mod proposals;
mod reads;
mod replicated;
mod status;
mod uncommitted;
mod upkeep;
mod upkeep_targets;

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use cloverfold_base::ProcessClock;
use cloverfold_configuration::{AuditRecord, RecentConfigurations, Version};
use cloverfold_consensus::{LogIndex, ReplicaId};
use cloverfold_evacuation::{DataHall, EvacuationRevision, OrderId};
use cloverfold_leased_process::SuspensionMonitor;
use cloverfold_link::LinkId;
use cloverfold_peer::{DialedPeers, Hello, PeerLinks, SentCounts, SharedMessage};
use tokio::sync::watch;

use self::apply::GroupView;
use self::directories::SentDirectories;
use self::known_peers::KnownPeers;
use self::notices::LastNotice;
use self::pending_reads::PendingReads;
use self::uncommitted::UncommittedEntries;
use self::upkeep::UpkeepRuntime;
use crate::replica_host::ReplicaHost;

pub(crate) use self::bootstrap::Bootstrap;
pub(crate) use self::hosted_jobs::{HostedJobs, JobGroupsConfig};
pub(crate) use self::peer_store::PeerStore;
pub use self::replicated::{Command, ReplicatedState};
pub(crate) use self::status::format_id;

/// The state of a control process.
pub(crate) struct ControlState {
    clock: ProcessClock,
    suspensions: SuspensionMonitor,
    /// How this process introduces itself.
    own: Hello,
    replica_id: ReplicaId,
    host: ReplicaHost,
    /// After all applied entries.
    state: ReplicatedState,
    dialed: DialedPeers,
    links: PeerLinks,
    /// The dialed link to each other replica; messages of the log go over these only.
    replica_links: HashMap<ReplicaId, LinkId>,
    /// Addresses of control processes: the seeds and all that have connected.
    known_controls: BTreeSet<SocketAddr>,
    entries: KnownPeers,
    guards: KnownPeers,
    /// What the targets of guards run, by the guard's address.
    services: HashMap<SocketAddr, String>,
    /// The data halls of guards that tell theirs, by the guard's address.
    halls: HashMap<SocketAddr, DataHall>,
    directories: SentDirectories,
    peer_store: PeerStore,
    /// `None` once the group exists or if another process begins it.
    bootstrap: Option<Bootstrap>,
    uncommitted_versions: UncommittedEntries<Version>,
    uncommitted_orders: UncommittedEntries<OrderId>,
    /// The groups that keep jobs.
    jobs: HostedJobs,
    /// The revision that entries and guards were told of last.
    sent_evacuations: EvacuationRevision,
    upkeep_runtime: UpkeepRuntime,
    reads: PendingReads,
    /// Index of the last applied entry.
    applied: watch::Sender<LogIndex>,
    /// The version in force.
    version: watch::Sender<Version>,
    recent_configurations: RecentConfigurations,
    /// The configuration in force as it is sent whole: many processes that start together fetch it together.
    shared_configuration: Option<SharedMessage>,
    last_notice: LastNotice,
    /// What was last logged about the group.
    logged_view: GroupView,
}

impl ControlState {
    /// Creates a state; nothing is dialed or applied before [`ControlState::begin`].
    pub(crate) fn new(
        own: Hello,
        host: ReplicaHost,
        dialed: DialedPeers,
        bootstrap: Option<Bootstrap>,
        peer_store: PeerStore,
        jobs: HostedJobs,
    ) -> Self {
        Self {
            clock: ProcessClock::default(),
            suspensions: SuspensionMonitor::default(),
            own,
            replica_id: host.replica.status().id,
            host,
            state: ReplicatedState::default(),
            dialed,
            links: PeerLinks::default(),
            replica_links: HashMap::new(),
            known_controls: BTreeSet::new(),
            entries: KnownPeers::default(),
            guards: KnownPeers::default(),
            services: HashMap::new(),
            halls: HashMap::new(),
            directories: SentDirectories::default(),
            peer_store,
            bootstrap,
            uncommitted_versions: UncommittedEntries::default(),
            uncommitted_orders: UncommittedEntries::default(),
            jobs,
            sent_evacuations: 0,
            upkeep_runtime: UpkeepRuntime::default(),
            reads: PendingReads::default(),
            applied: watch::Sender::new(0),
            version: watch::Sender::new(0),
            recent_configurations: RecentConfigurations::default(),
            shared_configuration: None,
            last_notice: LastNotice::default(),
            logged_view: GroupView::default(),
        }
    }

    /// Dials the seeds and applies what is known from disk to be committed.
    pub(crate) fn begin(&mut self, seeds: &[SocketAddr]) {
        self.restore_peers(self.clock.now());
        self.dial_seeds(seeds);
        self.advance();
    }

    /// Dials further seeds; those of earlier settings stay dialed.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.known_controls.insert(*seed);
            self.dialed.add(*seed);
        }
    }

    /// Does the work that is due by now.
    pub(crate) fn tick(&mut self) {
        // Logged and counted here; what follows from it, follows from the gap in time.
        self.suspensions.poll();
        let now = self.clock.now();
        self.host.replica.tick(now);
        self.try_bootstrap();
        self.propose_job_groups();
        self.advance();
        self.tick_jobs(now);
        let has_expired = self.entries.remove_expired(now) | self.guards.remove_expired(now);
        if has_expired {
            self.directories.mark_outdated(now);
        }
        self.invite_stored_peers(now);
        self.store_peers(now);
        self.send_due_directories(now);
        self.send_due_notice(now);
        self.host.log_slow(now);
    }

    /// Returns the version in force, and each later one as it comes into force.
    pub(crate) fn follow_version(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Returns the index of the last applied entry, and each later one.
    pub(crate) fn follow_applied(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// Returns the text of the configuration in force, as the operator sent it.
    pub(crate) fn current_text(&self) -> Option<Vec<u8>> {
        self.state
            .configuration
            .current()
            .map(|current| current.text.to_vec())
    }

    /// Returns the decisions on configurations, oldest first.
    pub(crate) fn audit(&self) -> Vec<AuditRecord> {
        self.state.configuration.audit().cloned().collect()
    }

    /// Returns the version in force here; 0 before the first.
    pub(crate) fn current_version(&self) -> Version {
        self.state.configuration.version()
    }

    /// Returns what was sent to other processes since the start.
    pub(crate) fn sent(&self) -> &SentCounts {
        self.links.sent()
    }

    /// Returns the suspensions of the box that were noticed.
    pub(crate) fn suspensions(&self) -> &SuspensionMonitor {
        &self.suspensions
    }

    /// Returns the term of the log.
    pub(crate) fn term(&self) -> u64 {
        self.host.replica.status().term
    }
}
