//! Start, settings reload and graceful shutdown of the entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::random_u64;
use cloverfold_http::{
    ConnectionBudget, HttpLimits, ListenError, Request, Response, ServerHandle, ShutdownPhase,
    json_response, operations_budget, plain_response, serve_at,
};
use cloverfold_lease::{Dispatcher, HealthLimits};
use cloverfold_leased_process::{PeerPort, ProcessBudgets, Shared, serve_state_operations};
use cloverfold_leased_settings::LeasedEntrySettings;
use cloverfold_peer::{ControlLinks, Hello, PeerDetails, PeerRole, Trailing};
use http::StatusCode;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::protocol::JobProtocol;
use crate::request_handler::RequestHandler;
use crate::state::EntryState;

/// Interval between ticks of the state.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// How long before the drain timeout the entry releases kept jobs that still have runs. Leaves a group enough time to elect a leader and
/// reply.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// A running entry; dropping it stops the process without draining.
pub struct LeasedEntry {
    handler: Arc<RequestHandler>,
    clients: ServerHandle,
    readiness: ServerHandle,
    /// Serves until dropped.
    _operations: Option<ServerHandle>,
    linger: Duration,
    drain_timeout: Duration,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl LeasedEntry {
    /// Returns the address that serves callers.
    pub fn client_address(&self) -> SocketAddr {
        self.clients.address()
    }

    /// Returns the address of the readiness check for the load balancer.
    pub fn ready_address(&self) -> SocketAddr {
        self.readiness.address()
    }

    /// Applies the settings that can change at run time: the seeds. Other changes apply at the next start.
    pub fn reload(&self, settings: &LeasedEntrySettings) {
        let seeds = settings.peer.seed_addresses();
        self.handler.lock().set_seeds(seeds);
    }

    /// Stops gracefully. The entry becomes not ready, but accepts jobs for the linger time. Then it accepts no new jobs, releases
    /// kept jobs without runs, and waits until open jobs are answered and kept ones have ended. It releases the remaining kept jobs shortly
    /// before the drain timeout.
    pub async fn stop(self) {
        self.begin_draining();
        sleep(self.linger).await;
        self.stop_accepting_jobs();
        let (is_drained, ()) = tokio::join!(self.wait_until_answered(), self.release_jobs());
        log::info!(is_drained; "stopped");
    }

    /// Makes the entry not ready and asks clients to reconnect elsewhere; the entry still accepts jobs.
    fn begin_draining(&self) {
        log::info!("draining");
        self.handler.lock().begin_draining();
        self.clients.advance(ShutdownPhase::Draining);
    }

    /// Refuses new jobs and client connections; open connections close once they are idle.
    fn stop_accepting_jobs(&self) {
        self.handler.lock().stop_accepting_jobs();
        self.clients.advance(ShutdownPhase::Closing);
    }

    /// Waits until all open jobs are answered; returns whether that was before the drain timeout.
    async fn wait_until_answered(&self) -> bool {
        let remaining = self.drain_timeout.saturating_sub(self.linger);
        timeout(remaining, self.clients.wait_closed()).await.is_ok()
    }
}

impl LeasedEntry {
    /// Waits until this entry drives no kept job; releases the remaining ones [`RELEASE_TIMEOUT`] before the drain timeout.
    async fn release_jobs(&self) {
        let remaining = self.drain_timeout.saturating_sub(self.linger);
        let release_timeout = RELEASE_TIMEOUT.min(remaining / 2);
        if timeout(remaining - release_timeout, self.wait_until_released())
            .await
            .is_ok()
        {
            return;
        }
        self.handler.lock().release_all_jobs();
        if timeout(release_timeout, self.wait_until_released())
            .await
            .is_err()
        {
            let jobs = self.handler.lock().driven_jobs();
            log::warn!(jobs; "some kept jobs were not released; they are reassigned after the lease of this entry expires");
        }
    }

    async fn wait_until_released(&self) {
        while !self.handler.lock().has_released_jobs() {
            sleep(TICK_INTERVAL).await;
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
    let budgets = ProcessBudgets {
        clients: ConnectionBudget::new("client_address", settings.client_limits()),
        unidentified_links: port.unidentified_links(),
    };
    let client_budget = budgets.clients.clone();
    let handler = Arc::new(RequestHandler::new(state.clone(), protocol, budgets));
    log::info!(name = settings.peer.name.as_str(); "starting entry");

    let port = port.listen()?;
    let clients = serve_clients(settings.client_address, client_budget, &handler)?;
    let readiness = serve_readiness(settings.ready_address, &handler)?;
    let metrics = handler.metrics.clone();
    let operations = serve_state_operations(
        settings.peer.metrics_address(),
        &state,
        move |state| metrics.write(state),
        EntryState::not_ready_reason,
    )?;
    let mut tasks = JoinSet::new();
    port.run(state, TICK_INTERVAL, &mut tasks);
    Ok(LeasedEntry {
        handler,
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
    let own_hello = Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Entry,
        address: settings.peer.address(),
        version: 0,
        details: Trailing(Some(PeerDetails::new(&settings.peer.data_hall))),
    };
    let timings = settings.lease.timings();
    let dispatcher = Dispatcher::new(timings, HealthLimits::default(), random_u64());
    let controls = ControlLinks::new(settings.peer.seed_addresses(), port.dialed_peers());
    EntryState::new(own_hello, protocol, dispatcher, controls)
}

fn serve_clients(
    address: SocketAddr,
    budget: ConnectionBudget,
    handler: &Arc<RequestHandler>,
) -> Result<ServerHandle, ListenError> {
    let limits = {
        let handler = handler.clone();
        let max_body_bytes = budget.limits().bytes / 2;
        move || read_limits(&handler, max_body_bytes)
    };
    let handler = handler.clone();
    let respond = move |request: Request| {
        let handler = handler.clone();
        async move { handler.handle(request).await }
    };
    serve_at("client_address", address, limits, budget, respond)
}

/// Returns the limits of the configuration in force, or the default ones if there is none. A body that could never be held is too long
/// whatever the configuration says.
fn read_limits(handler: &RequestHandler, max_body_bytes: usize) -> HttpLimits {
    let configuration = handler.lock().configuration();
    let Some(configuration) = configuration else {
        return HttpLimits::default();
    };
    let limits = configuration.limits;
    HttpLimits {
        header_bytes: limits.header_bytes,
        body_bytes: limits.body_bytes.min(max_body_bytes),
        body_timeout: limits.idle_timeout,
        idle_timeout: limits.idle_timeout.max(limits.header_timeout),
    }
}

fn serve_readiness(
    address: SocketAddr,
    handler: &Arc<RequestHandler>,
) -> Result<ServerHandle, ListenError> {
    let handler = handler.clone();
    let respond = move |request: Request| {
        let response = handle_readiness(&handler, &request);
        async move { response }
    };
    let budget = operations_budget("ready_address");
    serve_at(
        "ready_address",
        address,
        HttpLimits::default,
        budget,
        respond,
    )
}

/// Responds to the load balancer: 200 if ready, otherwise 503 with the reason.
fn handle_readiness(handler: &RequestHandler, request: &Request) -> Response {
    let path = request.uri.path();
    if !handler.protocol.is_readiness_request(&request.method, path) {
        return plain_response(StatusCode::NOT_FOUND, "no such call\n");
    }
    match handler.lock().not_ready_reason() {
        None => json_response(StatusCode::OK, "{}"),
        Some(reason) => plain_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}
