//! The entry process: how it starts, what changes while it runs, and how it stops.
//!
//! Owns the addresses that it serves and its tasks. Relies on `cloverfold_leased_process` for links, ticks and the pages for operators, and
//! on `cloverfold_http` to serve callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::random_u64;
use cloverfold_http::{
    HttpLimits, ListenError, Request, Response, ServerHandle, ShutdownPhase, json_response,
    plain_response, serve_at,
};
use cloverfold_lease::{Dispatcher, HealthLimits};
use cloverfold_leased_process::{PeerPort, Shared, serve_state_operations};
use cloverfold_leased_settings::LeasedEntrySettings;
use cloverfold_peer::{ControlLinks, Hello, PeerDetails, PeerRole, Trailing};
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::callers::Callers;
use crate::protocol::JobProtocol;
use crate::state::EntryState;

/// How often the entry does what has fallen due.
const TICK: Duration = Duration::from_millis(20);

/// How long before the end of the drain time kept jobs are handed on whose runs have not ended. A group that elects a leader at
/// that moment answers within it.
const HAND_ON_TIME: Duration = Duration::from_secs(1);

/// A running entry; dropping it stops it at once.
pub struct LeasedEntry {
    callers: Arc<Callers>,
    clients: ServerHandle,
    readiness: ServerHandle,
    /// Serves until it is dropped.
    _operations: Option<ServerHandle>,
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

    /// Returns the address at which the balancer asks for readiness.
    pub fn ready_address(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Applies what may change while the entry runs: the seeds. The rest stays until the next start.
    pub fn reload(&self, settings: &LeasedEntrySettings) {
        let seeds = settings.peer.seed_addresses();
        self.callers.lock().set_seeds(seeds);
    }

    /// Stops as planned: tells the balancer, goes on for the linger time, then accepts no new job, hands on the kept ones of which nothing
    /// runs and waits until open ones are answered and kept ones have ended; what is left shortly before the drain time is over is handed on.
    pub async fn stop(self) {
        self.begin_draining();
        sleep(self.linger).await;
        self.stop_accepting_jobs();
        let (is_drained, ()) = tokio::join!(self.wait_until_answered(), self.hand_on_jobs());
        log::info!(is_drained; "stopped");
    }

    /// Shows the entry as not ready and asks clients to connect elsewhere; jobs are still accepted.
    fn begin_draining(&self) {
        log::info!("draining");
        self.callers.lock().begin_draining();
        self.clients.advance(ShutdownPhase::Draining);
    }

    /// Refuses jobs and new client connections from now on; open connections close once they are idle.
    fn stop_accepting_jobs(&self) {
        self.callers.lock().stop_accepting_jobs();
        self.clients.advance(ShutdownPhase::Closing);
    }

    /// Returns whether all open jobs were answered in time.
    async fn wait_until_answered(&self) -> bool {
        let left = self.drain_timeout.saturating_sub(self.linger);
        timeout(left, self.clients.wait_closed()).await.is_ok()
    }
}

impl LeasedEntry {
    /// Waits until no kept job is driven here; hands on those that are left [`HAND_ON_TIME`] before the drain time is over.
    async fn hand_on_jobs(&self) {
        let left = self.drain_timeout.saturating_sub(self.linger);
        let last = HAND_ON_TIME.min(left / 2);
        if timeout(left - last, self.wait_until_handed_on())
            .await
            .is_ok()
        {
            return;
        }
        self.callers.lock().hand_on_all_jobs();
        if timeout(last, self.wait_until_handed_on()).await.is_err() {
            let jobs = self.callers.lock().driven_jobs();
            log::warn!(jobs; "kept jobs could not be handed on; they are once the lease of this entry is over");
        }
    }

    async fn wait_until_handed_on(&self) {
        while !self.callers.lock().has_handed_on() {
            sleep(TICK).await;
        }
    }
}

/// Starts an entry.
///
/// # Errors
///
/// Returns the first address that cannot be bound, with its setting and the system's error.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub fn start_leased_entry(
    settings: &LeasedEntrySettings,
    protocol: Arc<dyn JobProtocol>,
) -> Result<LeasedEntry, ListenError> {
    let port = PeerPort::new(settings.peer.address(), settings.peer.listen_address());
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
        details: Trailing(Some(PeerDetails::new(&settings.peer.data_hall))),
    };
    let timings = settings.lease.timings();
    let dispatcher = Dispatcher::new(timings, HealthLimits::default(), random_u64());
    let controls = ControlLinks::new(settings.peer.seed_addresses(), port.dialed_peers());
    EntryState::new(own, protocol, dispatcher, controls)
}

fn start_clients(address: SocketAddr, callers: &Arc<Callers>) -> Result<ServerHandle, ListenError> {
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

/// Returns the limits of the configuration in force, or the default ones before the first.
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

fn start_readiness(
    address: SocketAddr,
    callers: &Arc<Callers>,
) -> Result<ServerHandle, ListenError> {
    let callers = callers.clone();
    let answer = move |request: Request| {
        let response = answer_readiness(&callers, &request);
        async move { response }
    };
    serve_at("ready_address", address, HttpLimits::default, answer)
}

/// Answers the balancer: 200 if ready, otherwise 503 with the reason.
fn answer_readiness(callers: &Callers, request: &Request) -> Response {
    let path = request.uri.path();
    if !callers.protocol.is_readiness_request(&request.method, path) {
        return plain_response(StatusCode::NOT_FOUND, "no such call\n");
    }
    match callers.lock().find_unreadiness() {
        None => json_response(StatusCode::OK, "{}"),
        Some(reason) => plain_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}
