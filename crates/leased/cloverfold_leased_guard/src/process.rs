//! Start, settings reload and graceful shutdown of the guard process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::unix_now;
use cloverfold_http::{
    ConnectionBudget, HttpLimits, ListenError, Request, Response, ServerHandle, json_response,
    plain_response, serve_at,
};
use cloverfold_lease::Runner;
use cloverfold_leased_process::{PeerPort, ProcessBudgets, Shared, serve_state_operations};
use cloverfold_leased_settings::LeasedGuardSettings;
use cloverfold_peer::{ControlLinks, Hello, PeerDetails, PeerRole, Trailing};
use http::StatusCode;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::interface::{RegistrationRefusal, TargetInterface};
use crate::metrics::GuardMetrics;
use crate::renewals::renew_lease;
use crate::state::GuardState;
use crate::target_orders::{TargetOrder, send_orders};

/// Interval between ticks of the state.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks whether a draining guard has runs left.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A running guard; dropping it stops the process without draining.
pub struct LeasedGuard {
    state: Shared<GuardState>,
    registrations: ServerHandle,
    /// Serves until dropped.
    _operations: Option<ServerHandle>,
    drain_timeout: Duration,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl LeasedGuard {
    /// Returns the address on which the target registers.
    pub fn registration_address(&self) -> SocketAddr {
        self.registrations.address()
    }

    /// Applies the settings that can change at run time: the seeds. Other changes apply at the next start.
    pub fn reload(&self, settings: &LeasedGuardSettings) {
        let seeds = settings.peer.seed_addresses();
        self.state.lock().set_seeds(seeds);
    }

    /// Stops gracefully: accepts no new runs, and waits until all runs have ended and the ends of kept runs are recorded, at most for the
    /// drain timeout.
    pub async fn stop(self) {
        log::info!("draining");
        self.state.lock().begin_draining();
        let is_drained = self.wait_until_drained().await;
        log::info!(is_drained; "stopped");
    }

    /// Waits until the guard is drained; returns whether that was before the drain timeout.
    async fn wait_until_drained(&self) -> bool {
        let drained = async {
            while !self.state.lock().is_drained() {
                sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        timeout(self.drain_timeout, drained).await.is_ok()
    }
}

/// Starts a guard.
///
/// # Errors
///
/// Returns the first address that cannot be bound, with its setting and the system's error.
///
/// # Panics
///
/// Panics outside a tokio runtime.
pub fn start_leased_guard(
    settings: &LeasedGuardSettings,
    interface: Arc<dyn TargetInterface>,
) -> Result<LeasedGuard, ListenError> {
    let port = PeerPort::new(settings.peer.address(), settings.peer.listen_address());
    let (orders_tx, orders_rx) = mpsc::unbounded_channel();
    let renew_now = Arc::new(Notify::new());
    let state = build_state(settings, &port, orders_tx, renew_now.clone());
    let state = Shared::new(state);
    log::info!(name = settings.peer.name.as_str(); "starting guard");

    let budgets = ProcessBudgets {
        clients: ConnectionBudget::new("registration_address", settings.client_limits()),
        unidentified_links: port.unidentified_links(),
    };
    let port = port.listen()?;
    let registrations = serve_registrations(
        settings.registration_address,
        budgets.clients.clone(),
        &state,
        &interface,
    )?;
    let metrics = GuardMetrics::new(budgets);
    let operations = serve_state_operations(
        settings.peer.metrics_address(),
        &state,
        move |state| metrics.write(state),
        |state| (!state.has_ready_target()).then_some("no target takes work"),
    )?;
    let mut tasks = JoinSet::new();
    tasks.spawn(send_orders(state.clone(), orders_rx, interface.clone()));
    tasks.spawn(renew_lease(state.clone(), interface, renew_now));
    port.run(state.clone(), TICK_INTERVAL, &mut tasks);
    Ok(LeasedGuard {
        state,
        registrations,
        _operations: operations,
        drain_timeout: settings.drain_timeout(),
        _tasks: tasks,
    })
}

fn build_state(
    settings: &LeasedGuardSettings,
    port: &PeerPort,
    orders: mpsc::UnboundedSender<TargetOrder>,
    renew_now: Arc<Notify>,
) -> GuardState {
    let own_hello = Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Guard,
        address: settings.peer.address(),
        version: 0,
        details: Trailing(Some(PeerDetails::new(&settings.peer.data_hall))),
    };
    let timings = settings.lease.timings();
    // A restarted guard starts with a higher fencing token. If the clock has gone back, refusals by the target raise the token.
    let fencing_token = unix_now().as_millis() as u64;
    let runner = Runner::new(timings, fencing_token);
    let controls = ControlLinks::new(settings.peer.seed_addresses(), port.dialed_peers());
    GuardState::new(
        own_hello,
        runner,
        controls,
        port.dialed_peers(),
        orders,
        renew_now,
    )
}

fn serve_registrations(
    address: SocketAddr,
    budget: ConnectionBudget,
    state: &Shared<GuardState>,
    interface: &Arc<dyn TargetInterface>,
) -> Result<ServerHandle, ListenError> {
    let state = state.clone();
    let interface = interface.clone();
    let handler = move |request: Request| {
        let response = handle_registration(&state, interface.as_ref(), &request);
        async move { response }
    };
    serve_at(
        "registration_address",
        address,
        HttpLimits::default,
        budget,
        handler,
    )
}

/// Passes a registration call to the state and acknowledges it.
fn handle_registration(
    state: &Shared<GuardState>,
    interface: &dyn TargetInterface,
    request: &Request,
) -> Response {
    match interface.read_registration(request) {
        Ok(call) => {
            state.lock().receive_registration(call);
            json_response(StatusCode::OK, interface.write_acknowledgement())
        }
        Err(RegistrationRefusal::Unknown) => {
            plain_response(StatusCode::NOT_FOUND, "no such call\n")
        }
        Err(RegistrationRefusal::Malformed(error)) => {
            state.lock().count_unreadable_registration();
            log::warn!("cannot parse registration: {error}");
            plain_response(StatusCode::BAD_REQUEST, format!("{error}\n"))
        }
    }
}
