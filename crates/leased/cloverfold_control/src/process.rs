//! The control process, put together.
//!
//! [`start_control`] opens the store, creates the state, binds the addresses and starts the tasks; [`ControlProcess`] owns them. Relies
//! on `cloverfold_leased_process` for what all leased processes share.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{Timestamp, random_u64};
use cloverfold_consensus::{DiskIdentity, Record, Replica, ReplicaConfig, ReplicaId, Store};
use cloverfold_evacuation::HallNames;
use cloverfold_http::{HttpLimits, ListenError, Request, ServerHandle, ShutdownPhase, serve_at};
use cloverfold_leased_process::{
    ListeningPeerPort, PeerPort, Shared, serve_state_operations, tick_interval,
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
use crate::operators::{OperatorInterface, Operators};
use crate::peer_file::PeerFile;
use crate::replica_host::ReplicaHost;
use crate::state::{Bootstrap, ControlState, HostedJobs, JobGroupsConfig, PeerStore, format_id};
use crate::upkeep_caller::UpkeepCaller;

/// How often the process does the work that is due. Chosen, not measured: three times in a heartbeat of the log.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// What a message needs beside a configuration, in bytes, at most: a snapshot also has the audit trail, 4,096 records of some 150
/// bytes. Chosen, not measured.
const MESSAGE_OVERHEAD_BYTES: usize = 1024 * 1024;
/// Longest configuration that is accepted, in bytes. The other control processes must be able to get it over a link: one that fits no
/// frame would be appended by the leader and hold up all later entries.
const MAX_CONFIGURATION_BYTES: usize = MAX_FRAME_LEN - MESSAGE_OVERHEAD_BYTES;
/// How long a stopping process waits for operators' calls to end. Chosen, not measured.
const STOP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A control process that runs.
pub struct ControlProcess {
    state: Shared<ControlState>,
    operators: ServerHandle,
    _operations: Option<ServerHandle>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl ControlProcess {
    /// Returns the address at which operators are served.
    pub fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Applies the settings that may change while the process runs: the seeds. All others hold until it ends.
    pub fn reload(&self, settings: &ControlSettings) {
        let seeds = settings.peer.seed_addresses();
        self.state.lock().dial_seeds(&seeds);
    }

    /// Answers the calls under way and stops.
    pub async fn stop(self) {
        self.operators.advance(ShutdownPhase::Closing);
        // A client that never ends its request is cut off.
        let _ = timeout(STOP_TIMEOUT, self.operators.wait_closed()).await;
        log::info!("stopped");
    }
}

/// Starts a control process; must be called within a runtime.
///
/// # Errors
///
/// Returns which file or address cannot be used.
pub fn start_control(
    settings: &ControlSettings,
    interface: Arc<dyn OperatorInterface>,
) -> Result<ControlProcess, ControlError> {
    let port = PeerPort::new(settings.peer.address(), settings.peer.listen_address());
    let (disk_tx, disk_rx) = mpsc::unbounded_channel();
    let state = create_state(settings, &port, disk_tx)?;
    let state = Shared::new(state);
    let port = port.listen()?;
    let operators = start_operators(settings, &state, interface.clone())?;
    let operations = start_operations(settings, &state)?;
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

/// Opens the store and creates the state that goes on from it.
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
        "a control process starts"
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

/// Returns how this process hosts the groups that keep jobs, once they are agreed on.
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

/// Reads who was connected before the last restart.
fn open_peer_store(folder: &Path, start: Timestamp) -> Result<PeerStore, ControlError> {
    let (file, remembered) = PeerFile::open(folder).map_err(ControlError::Thread)?;
    Ok(PeerStore::new(file, remembered, start))
}

/// Draws the identity of a new disk. It and the right to begin a group are synced before anything else, so that a process that dies
/// while it begins a group goes on with that.
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
    state: &Shared<ControlState>,
    interface: Arc<dyn OperatorInterface>,
) -> Result<ServerHandle, ListenError> {
    let address = settings.operator_address;
    let name = settings.peer.name.clone();
    let halls = HallNames::new(settings.halls.iter().cloned());
    let operators = Arc::new(Operators::new(
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
    serve_at("operator_address", address, limits, answer)
}

fn start_operations(
    settings: &ControlSettings,
    state: &Shared<ControlState>,
) -> Result<Option<ServerHandle>, ListenError> {
    let metrics = ControlMetrics::new();
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
        state.lock().begin(&seeds);
        let mut ticks = tick_interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                Some(event) = link_rx.recv() => state.lock().link_event(event),
                Some(event) = disk_rx.recv() => state.lock().disk_event(event),
                _ = ticks.tick() => state.lock().tick(),
            }
        }
    });
    tasks
}
