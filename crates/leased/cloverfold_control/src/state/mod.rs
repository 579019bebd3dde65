//! The state of a control process.
//!
//! [`ControlState`] handles events from links, ticks, the disk and operators. It owns the replica of the control log, the replicated state,
//! the links to all peers and the pending reads.
//!
//! | module | responsibility |
//! |---|---|
//! | `apply` | output of the replica and application of committed entries |
//! | `bootstrap` | bootstrap of the group |
//! | `replicated` | the replicated state and its commands |
//! | `proposals`, `evacuations`, `uncommitted` | submission of operator orders to the log |
//! | `reads`, `pending_reads` | linearizable reads |
//! | `upkeep`, `upkeep_targets` | waves of upkeep and the scheduler on the leader |
//! | `peers` | links and messages |
//! | `notices` | announcement of the version in force |
//! | `directories`, `known_peers` | addresses distributed to entries and guards |
//! | `target_needs` | targets that entries need beyond their subsets |
//! | `peer_store` | entries and guards stored across restarts |
//! | `founding` | creation of the groups that keep jobs |
//! | `hosted_jobs`, `jobs` | hosted groups |
//! | `job_calls`, `job_relays` | calls to groups |
//! | `status` | status for operators |

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
mod target_needs;
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
use self::target_needs::EntryNeeds;
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
    /// The hello message of this process.
    own: Hello,
    replica_id: ReplicaId,
    host: ReplicaHost,
    /// The state after all applied entries.
    state: ReplicatedState,
    dialed: DialedPeers,
    links: PeerLinks,
    /// The dialed link to each other replica; consensus messages use only these links.
    replica_links: HashMap<ReplicaId, LinkId>,
    /// Addresses of control processes: the seeds and all that have connected.
    known_controls: BTreeSet<SocketAddr>,
    entries: KnownPeers,
    guards: KnownPeers,
    /// The services of the guards' targets, by the guard's address.
    services: HashMap<SocketAddr, String>,
    /// The data halls reported by guards, by the guard's address.
    halls: HashMap<SocketAddr, DataHall>,
    directories: SentDirectories,
    entry_needs: EntryNeeds,
    peer_store: PeerStore,
    /// `None` once the group exists, or if another process bootstraps it.
    bootstrap: Option<Bootstrap>,
    uncommitted_versions: UncommittedEntries<Version>,
    uncommitted_orders: UncommittedEntries<OrderId>,
    jobs: HostedJobs,
    /// The revision that was last sent to entries and guards.
    sent_evacuations: EvacuationRevision,
    upkeep_runtime: UpkeepRuntime,
    reads: PendingReads,
    /// Index of the last applied entry.
    applied: watch::Sender<LogIndex>,
    /// The version in force.
    version: watch::Sender<Version>,
    recent_configurations: RecentConfigurations,
    /// The encoded configuration in force, shared because many processes that start together fetch it together.
    shared_configuration: Option<SharedMessage>,
    last_notice: LastNotice,
    /// The last logged view of the group.
    logged_view: GroupView,
}

impl ControlState {
    /// Creates a state. It dials and applies nothing before [`ControlState::start`].
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
            entry_needs: EntryNeeds::default(),
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

    /// Dials the seeds and applies the entries that are recorded as committed.
    pub(crate) fn start(&mut self, seeds: &[SocketAddr]) {
        self.restore_peers(self.clock.now());
        self.dial_seeds(seeds);
        self.advance();
    }

    /// Dials additional seeds. Those of earlier settings stay dialed.
    pub(crate) fn dial_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.known_controls.insert(*seed);
            self.dialed.add(*seed);
        }
    }

    pub(crate) fn tick(&mut self) {
        // Only logs and counts a suspension; its effects follow from the jump of the clock.
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

    /// Returns a receiver of the version in force.
    pub(crate) fn subscribe_version(&self) -> watch::Receiver<Version> {
        self.version.subscribe()
    }

    /// Returns a receiver of the index of the last applied entry.
    pub(crate) fn subscribe_applied(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// Returns the text of the configuration in force, as submitted by the operator.
    pub(crate) fn current_text(&self) -> Option<Vec<u8>> {
        self.state
            .configuration
            .current()
            .map(|current| current.text.to_vec())
    }

    /// Returns the audit trail of configurations, oldest record first.
    pub(crate) fn audit(&self) -> Vec<AuditRecord> {
        self.state.configuration.audit().cloned().collect()
    }

    /// Returns the version in force locally; 0 if there is none.
    pub(crate) fn current_version(&self) -> Version {
        self.state.configuration.version()
    }

    /// Returns the counts of messages sent to other processes since the start.
    pub(crate) fn sent(&self) -> &SentCounts {
        self.links.sent()
    }

    /// Returns the detected suspensions of the box.
    pub(crate) fn suspensions(&self) -> &SuspensionMonitor {
        &self.suspensions
    }

    pub(crate) fn term(&self) -> u64 {
        self.host.replica.status().term
    }
}
