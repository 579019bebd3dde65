//! The entry process, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::random_u64;
use cloverfold_http::{
    HttpLimits, ListenError, Request, Serving, StopPhase, json_response, plain_response, serve_at,
};
use cloverfold_lease::{Dispatcher, HealthLimits};
use cloverfold_leased_process::{PeerPort, Shared, serve_state_operations};
use cloverfold_leased_settings::LeasedEntrySettings;
use cloverfold_peer::{ControlLinks, Hello, PeerRole};
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::callers::Callers;
use crate::protocol::JobProtocol;
use crate::state::EntryState;

/// How often the entry looks what has fallen due. Chosen, not measured.
const TICK: Duration = Duration::from_millis(20);

/// An entry that runs.
pub struct LeasedEntry {
    callers: Arc<Callers>,
    clients: Serving,
    readiness: Serving,
    _operations: Option<Serving>,
    linger: Duration,
    drain_timeout: Duration,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl LeasedEntry {
    /// Returns the address at which callers are served.
    pub fn client_address(&self) -> SocketAddr {
        self.clients.address()
    }

    /// Returns the address at which readiness is told.
    pub fn ready_address(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Takes what may change under way: the seeds. The rest holds for the life of the process.
    pub fn reload(&self, settings: &LeasedEntrySettings) {
        self.callers
            .lock()
            .set_seeds(settings.peer.seed_addresses());
    }

    /// Stops as planned: the balancer is told, then no new job is taken, then what is open is answered.
    pub async fn stop(self) {
        log::info!("draining");
        self.callers.lock().begin_leaving();
        self.clients.advance(StopPhase::Turning);
        sleep(self.linger).await;
        self.callers.lock().refuse_jobs();
        self.clients.advance(StopPhase::Closing);
        let left = self.drain_timeout.saturating_sub(self.linger);
        let is_drained = timeout(left, self.clients.wait_closed()).await.is_ok();
        log::info!(is_drained; "stopped");
    }
}

/// Starts an entry; must be called within a runtime.
///
/// # Errors
///
/// Says which address cannot be used.
pub fn start_leased_entry(
    settings: &LeasedEntrySettings,
    protocol: Arc<dyn JobProtocol>,
) -> Result<LeasedEntry, ListenError> {
    let port = PeerPort::new(settings.peer.address());
    let state = Shared::new(build_state(settings, &port, protocol.clone()));
    let callers = Arc::new(Callers::new(state.clone(), protocol));
    log::info!(name = settings.peer.name.as_str(); "an entry starts");

    let port = port.listen()?;
    let clients = start_clients(settings.client_address, &callers)?;
    let readiness = start_readiness(settings.ready_address, &callers)?;
    let metrics = callers.metrics.clone();
    let operations = serve_state_operations(
        settings.peer.metrics_address(),
        &state,
        move |state| metrics.write(state),
        EntryState::find_unreadiness,
    )?;
    let mut tasks = JoinSet::new();
    port.run(state, TICK, &mut tasks);
    Ok(LeasedEntry {
        callers,
        clients,
        readiness,
        _operations: operations,
        linger: settings.linger(),
        drain_timeout: settings.drain_timeout(),
        _tasks: tasks,
    })
}

fn build_state(
    settings: &LeasedEntrySettings,
    port: &PeerPort,
    protocol: Arc<dyn JobProtocol>,
) -> EntryState {
    let own = Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Entry,
        address: settings.peer.address(),
        version: 0,
    };
    let timings = settings.lease.timings();
    let dispatcher = Dispatcher::new(timings, HealthLimits::default(), random_u64());
    let controls = ControlLinks::new(settings.peer.seed_addresses(), port.dial_peers());
    EntryState::new(own, protocol, dispatcher, controls)
}

fn start_clients(address: SocketAddr, callers: &Arc<Callers>) -> Result<Serving, ListenError> {
    let limits = {
        let callers = callers.clone();
        move || read_limits(&callers)
    };
    let callers = callers.clone();
    let answer = move |request: Request| {
        let callers = callers.clone();
        async move { callers.answer(request).await }
    };
    serve_at("client_address", address, limits, answer)
}

fn read_limits(callers: &Callers) -> HttpLimits {
    let configuration = callers.lock().configuration();
    let Some(configuration) = configuration else {
        return HttpLimits::default();
    };
    let limits = configuration.limits;
    HttpLimits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes,
        body_timeout: limits.idle_timeout,
        idle_timeout: limits.idle_timeout.max(limits.header_timeout),
    }
}

fn start_readiness(address: SocketAddr, callers: &Arc<Callers>) -> Result<Serving, ListenError> {
    let callers = callers.clone();
    let answer = move |request: Request| {
        let is_meant = callers
            .protocol
            .asks_readiness(&request.method, request.uri.path());
        let response = match callers.lock().find_unreadiness() {
            _ if !is_meant => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
            None => json_response(StatusCode::OK, "{}"),
            Some(why) => plain_response(StatusCode::SERVICE_UNAVAILABLE, format!("{why}\n")),
        };
        async move { response }
    };
    serve_at("ready_address", address, HttpLimits::default, answer)
}
