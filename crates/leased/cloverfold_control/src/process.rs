//! Start and shutdown of the control process.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{Timestamp, random_u64};
use cloverfold_consensus::{DiskIdentity, Record, Replica, ReplicaConfig, ReplicaId, Store};
use cloverfold_evacuation::HallNames;
use cloverfold_http::{
    ConnectionBudget, HttpLimits, ListenError, Request, ServerHandle, ShutdownPhase, serve_at,
};
use cloverfold_leased_process::{
    ListeningPeerPort, PeerPort, ProcessBudgets, Shared, serve_state_operations, tick_interval,
};
use cloverfold_leased_settings::ControlSettings;
use cloverfold_link::MAX_FRAME_LEN;
use cloverfold_peer::{Hello, PeerDetails, PeerRole, Trailing};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::disk::{DiskEventSender, DiskWriter, LogEvent, LogId};
use crate::error::ControlError;
use crate::job_groups::GroupSettings;
use crate::metrics::ControlMetrics;
use crate::operators::{OperatorApi, OperatorInterface};
use crate::peer_file::PeerFile;
use crate::replica_host::ReplicaHost;
use crate::state::{Bootstrap, ControlState, HostedJobs, JobGroupsConfig, PeerStore, format_id};
use crate::upkeep_caller::UpkeepCaller;

/// Interval at which the process performs due work; a third of the heartbeat interval of the log.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum size of the parts of a message other than the configuration. A snapshot also holds the audit trail of 4,096 records, each of
/// about 150 bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 1024 * 1024;
/// Longest configuration that is accepted. A longer one would not fit into a frame, so the leader could append but never replicate it,
/// which would block all later entries.
const MAX_CONFIGURATION_BYTES: usize = MAX_FRAME_LEN - MESSAGE_OVERHEAD_BYTES;
/// How long shutdown waits for pending requests of operators.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A running control process.
pub struct ControlProcess {
    state: Shared<ControlState>,
    operators: ServerHandle,
    _operations: Option<ServerHandle>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl ControlProcess {
    /// Returns the address of the operator API.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Applies changed settings. Only new seeds take effect while the process runs.
    pub fn reload(&self, settings: &ControlSettings) {
        let seeds = settings.peer.seed_addresses();
        self.state.lock().dial_seeds(&seeds);
    }

    /// Completes pending requests and stops.
    pub async fn stop(self) {
        self.operators.advance(ShutdownPhase::Closing);
        // Disconnects clients whose requests do not complete in time.
        let _ = timeout(STOP_TIMEOUT, self.operators.wait_closed()).await;
        log::info!("stopped");
    }
}

/// Starts a control process. Must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns an error if the data folder or an address cannot be used, or a thread cannot be spawned.
pub fn start_control(
    settings: &ControlSettings,
    interface: Arc<dyn OperatorInterface>,
) -> Result<ControlProcess, ControlError> {
    let port = PeerPort::new(settings.peer.address(), settings.peer.listen_address());
    let (disk_tx, disk_rx) = mpsc::unbounded_channel();
    let state = create_state(settings, &port, disk_tx)?;
    let state = Shared::new(state);
    let budgets = ProcessBudgets {
        clients: ConnectionBudget::new("operator_address", settings.client_limits()),
        unidentified_links: port.unidentified_links(),
    };
    let port = port.listen()?;
    let operator_budget = budgets.clients.clone();
    let operators = start_operators(settings, operator_budget, &state, interface.clone())?;
    let operations = start_operations(settings, budgets, &state)?;
    let seeds = settings.peer.seed_addresses();
    let mut tasks = start_tasks(&state, port, disk_rx, seeds);
    if let Some(upkeep) = settings.upkeep.clone() {
        let name = settings.peer.name.clone();
        tasks.spawn(UpkeepCaller::new(state.clone(), interface, upkeep, name).run());
    }
    Ok(ControlProcess {
        state,
        operators,
        _operations: operations,
        _tasks: tasks,
    })
}

/// Opens the store and creates the state from what it holds.
fn create_state(
    settings: &ControlSettings,
    port: &PeerPort,
    disk_events: mpsc::UnboundedSender<LogEvent>,
) -> Result<ControlState, ControlError> {
    let (mut store, recovered) = Store::open(&settings.data_folder)?;
    let identity = match recovered.identity {
        Some(identity) => identity,
        None => create_identity(&mut store, settings.may_found)?,
    };
    let has_empty_log = recovered.entries.is_empty() && recovered.snapshot.index == 0;
    let own = create_hello(settings, identity.id, has_empty_log);
    let seeds = settings.peer.seed_addresses();
    let bootstrap = Bootstrap::plan(identity.may_bootstrap, has_empty_log, own.address, &seeds);
    log::info!(
        name = own.name.as_str(), replica = format_id(identity.id).as_str(),
        is_blank = has_empty_log, may_found = identity.may_bootstrap, is_founder = bootstrap.is_some();
        "control process starting"
    );
    let config = ReplicaConfig {
        voters: 2 * settings.tolerated_losses + 1,
        ..ReplicaConfig::default()
    };
    let start = Timestamp::ZERO;
    let replica = Replica::new(identity.id, config, recovered, random_u64(), start);
    let events = DiskEventSender::new(LogId::Control, disk_events.clone());
    let disk = DiskWriter::start(store, events).map_err(ControlError::Thread)?;
    let peer_store = open_peer_store(&settings.data_folder, start)?;
    Ok(ControlState::new(
        own,
        ReplicaHost::new(replica, disk),
        port.dialed_peers(),
        bootstrap,
        peer_store,
        configure_jobs(settings, identity.id, disk_events),
    ))
}

/// Configures the groups that keep jobs; this process hosts them once the control processes have agreed on them.
fn configure_jobs(
    settings: &ControlSettings,
    replica: ReplicaId,
    disk_events: mpsc::UnboundedSender<LogEvent>,
) -> HostedJobs {
    let config = JobGroupsConfig {
        count: settings.job_groups,
        groups: GroupSettings {
            replica,
            voters: 2 * settings.tolerated_losses + 1,
            retention: settings.status_retention(),
        },
        seeds: settings.peer.seed_addresses(),
        data_folder: settings.data_folder.clone(),
    };
    HostedJobs::new(config, disk_events)
}

/// Opens the file with the peers that were connected before the last restart.
fn open_peer_store(folder: &Path, start: Timestamp) -> Result<PeerStore, ControlError> {
    let (file, stored) = PeerFile::open(folder).map_err(ControlError::Thread)?;
    Ok(PeerStore::new(file, stored, start))
}

/// Generates the identity of a new disk. It is synced together with the permission to bootstrap before anything else, so that a process
/// that crashes during the bootstrap resumes it.
fn create_identity(store: &mut Store, may_bootstrap: bool) -> Result<DiskIdentity, ControlError> {
    // An identity is never 0.
    let id = random_u64() | 1;
    store.append(&[Record::Identity { id, may_bootstrap }])?;
    Ok(DiskIdentity { id, may_bootstrap })
}

fn create_hello(settings: &ControlSettings, replica: ReplicaId, has_empty_log: bool) -> Hello {
    Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Control {
            replica,
            has_empty_log,
        },
        address: settings.peer.address(),
        version: 0,
        details: Trailing(Some(PeerDetails::new(&settings.peer.data_hall))),
    }
}

fn start_operators(
    settings: &ControlSettings,
    budget: ConnectionBudget,
    state: &Shared<ControlState>,
    interface: Arc<dyn OperatorInterface>,
) -> Result<ServerHandle, ListenError> {
    let address = settings.operator_address;
    let name = settings.peer.name.clone();
    let halls = HallNames::new(settings.halls.iter().cloned());
    let operators = Arc::new(OperatorApi::new(
        state.clone(),
        interface,
        name,
        halls,
        settings.upkeep.clone(),
    ));
    let limits = || HttpLimits {
        body_bytes: MAX_CONFIGURATION_BYTES,
        ..HttpLimits::default()
    };
    let answer = move |request: Request| {
        let operators = operators.clone();
        async move { operators.answer(request).await }
    };
    serve_at("operator_address", address, limits, budget, answer)
}

fn start_operations(
    settings: &ControlSettings,
    budgets: ProcessBudgets,
    state: &Shared<ControlState>,
) -> Result<Option<ServerHandle>, ListenError> {
    let metrics = ControlMetrics::new(budgets);
    serve_state_operations(
        settings.peer.metrics_address(),
        state,
        move |state| metrics.write(state),
        |state| (!state.has_quorum()).then_some("out of touch with the majority"),
    )
}

fn start_tasks(
    state: &Shared<ControlState>,
    port: ListeningPeerPort,
    mut disk_rx: mpsc::UnboundedReceiver<LogEvent>,
    seeds: Vec<SocketAddr>,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let mut link_rx = port.accept(&mut tasks);
    let state = state.clone();
    tasks.spawn(async move {
        state.lock().start(&seeds);
        let mut ticks = tick_interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = link_rx.recv() => state.lock().handle_link_event(event),
                Some(event) = disk_rx.recv() => state.lock().handle_disk_event(event),
                _ = ticks.tick() => state.lock().tick(),
            }
        }
    });
    tasks
}
