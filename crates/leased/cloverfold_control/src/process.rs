//! The control process, put together.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cloverfold_base::random_u64;
use cloverfold_consensus::{Record, Replica, ReplicaConfig, Store};
use cloverfold_http::{
    HttpLimits, Request, Serving, StopPhase, listen_at, serve_at, serve_operations,
};
use cloverfold_leased_settings::ControlSettings;
use cloverfold_link::accept_links;
use cloverfold_peer::{DialedPeers, Hello, PeerRole};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::disk::Disk;
use crate::error::ControlError;
use crate::metrics::ControlMetrics;
use crate::operators::{OperatorInterface, Operators};
use crate::state::{ControlState, Founding};

const TICK: Duration = Duration::from_millis(25);
const LINK_EVENTS: usize = 1_024;
/// Longest configuration, in bytes.
const MAX_CONFIGURATION: usize = 16 * 1024 * 1024;

/// A control process that runs.
pub struct ControlProcess {
    state: Arc<Mutex<ControlState>>,
    operators: Serving,
    _metrics: Option<Serving>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl ControlProcess {
    /// Returns the address at which operators are served.
    pub fn operator_address(&self) -> std::net::SocketAddr {
        self.operators.address()
    }

    /// Takes what may change under way: the seeds. The rest holds for the life of the process.
    pub fn reload(&self, settings: &ControlSettings) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.dial_seeds(&settings.peer.seed_addresses());
    }

    /// Answers what is under way and stops.
    pub async fn stop(self) {
        const PATIENCE: Duration = Duration::from_millis(1_000);
        self.operators.advance(StopPhase::Closing);
        // A client that never ends its request is left.
        let _ = tokio::time::timeout(PATIENCE, self.operators.wait_closed()).await;
        log::info!("stopped");
    }
}

/// Starts a control process; must be called within a runtime.
///
/// # Errors
///
/// Says which file or address cannot be used.
pub fn start_control(
    settings: &ControlSettings,
    interface: Arc<dyn OperatorInterface>,
) -> Result<ControlProcess, ControlError> {
    let (mut store, state) = Store::open(&settings.data_folder)?;
    let (replica_id, may_found) = match state.identity {
        Some(identity) => identity,
        None => {
            let id = random_u64() | 1;
            let may_found = settings.may_found;
            store.append(&[Record::Identity { id, may_found }])?;
            (id, may_found)
        }
    };
    let config = ReplicaConfig {
        voters: 2 * settings.tolerated_losses + 1,
        ..ReplicaConfig::default()
    };
    let has_empty_log = state.entries.is_empty() && state.snapshot.index == 0;
    let replica = Replica::new(replica_id, config, state, random_u64(), Duration::ZERO);

    let own_address = settings.peer.address();
    let seeds = settings.peer.seed_addresses();
    let is_founder = may_found && has_empty_log && seeds.first() == Some(&own_address);
    let founding = is_founder.then(|| Founding {
        seeds: seeds.clone(),
    });
    let own = Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Control {
            replica: replica_id,
            has_empty_log,
        },
        address: own_address,
        version: 0,
    };
    let (link_tx, mut link_rx) = mpsc::channel(LINK_EVENTS);
    let (disk_tx, mut disk_rx) = mpsc::unbounded_channel();
    let disk = Disk::start(store, disk_tx).map_err(ControlError::Thread)?;
    let dialed = DialedPeers::new(own_address, link_tx.clone());
    let state = ControlState::new(own, replica_id, replica, disk, dialed, founding);
    let state = Arc::new(Mutex::new(state));
    log::info!(
        name = settings.peer.name.as_str(), replica = format!("{replica_id:016x}").as_str(),
        is_blank = has_empty_log, may_found, is_founder;
        "a control process starts"
    );

    let listener = listen_at("peer.port", own_address)?;
    let operators = start_operators(settings, &state, interface)?;
    let metrics = ControlMetrics::new();
    let metrics = serve_operations(
        settings.peer.metrics_address(),
        {
            let state = state.clone();
            move || metrics.write(&state)
        },
        {
            let state = state.clone();
            move || {
                let state = state.lock().unwrap_or_else(PoisonError::into_inner);
                (!state.is_fresh()).then_some("out of touch with the majority")
            }
        },
    )?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept_links(listener, link_tx));
    let shared = state.clone();
    tasks.spawn(async move {
        let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
        lock().begin(&seeds);
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = link_rx.recv() => lock().link_event(event),
                Some(event) = disk_rx.recv() => lock().disk_event(event),
                _ = ticks.tick() => lock().tick(),
            }
        }
    });
    Ok(ControlProcess {
        state: shared,
        operators,
        _metrics: metrics,
        _tasks: tasks,
    })
}

fn start_operators(
    settings: &ControlSettings,
    state: &Arc<Mutex<ControlState>>,
    interface: Arc<dyn OperatorInterface>,
) -> Result<Serving, ControlError> {
    let address = settings.operator_address;
    let name = settings.peer.name.clone();
    let operators = Arc::new(Operators::new(state.clone(), interface, name));
    let limits = || HttpLimits {
        body_bytes: MAX_CONFIGURATION,
        ..HttpLimits::default()
    };
    let answer = move |request: Request| {
        let operators = operators.clone();
        async move { operators.answer(request).await }
    };
    Ok(serve_at("operator_address", address, limits, answer)?)
}
