//! The guard process, put together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::unix_now;
use cloverfold_http::{
    HttpLimits, ListenError, Request, Serving, json_response, plain_response, serve_at,
};
use cloverfold_lease::{RenewalAnswer, Runner};
use cloverfold_leased_process::{PeerPort, Shared, serve_state_operations};
use cloverfold_leased_settings::LeasedGuardSettings;
use cloverfold_peer::{ControlLinks, Hello, PeerRole};
use http::StatusCode;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::interface::{RegistrationRefusal, TargetInterface};
use crate::metrics::GuardMetrics;
use crate::state::{GuardState, TargetOrder};

/// How often the guard looks what has fallen due. Chosen, not measured.
const TICK: Duration = Duration::from_millis(20);
/// Pause after a renewal that was not answered at all.
const HOLD_PAUSE: Duration = Duration::from_millis(10);
/// The same while the target has been silent for some time: each renewal that is not answered costs a connection.
const SILENT_PAUSE: Duration = Duration::from_millis(60);
/// Pause while no target is known.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(200);

/// A guard that runs.
pub struct LeasedGuard {
    state: Shared<GuardState>,
    registrations: Serving,
    _operations: Option<Serving>,
    drain_timeout: Duration,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl LeasedGuard {
    /// Returns the address at which the target registers.
    pub fn registration_address(&self) -> SocketAddr {
        self.registrations.address()
    }

    /// Takes what may change under way: the seeds. The rest holds for the life of the process.
    pub fn reload(&self, settings: &LeasedGuardSettings) {
        self.state.lock().set_seeds(settings.peer.seed_addresses());
    }

    /// Stops as planned: no new run is taken, and those that are held end.
    pub async fn stop(self) {
        const PAUSE: Duration = Duration::from_millis(20);
        log::info!("draining");
        self.state.lock().leave();
        let drained = async {
            while self.state.lock().held() > 0 {
                sleep(PAUSE).await;
            }
        };
        let is_drained = timeout(self.drain_timeout, drained).await.is_ok();
        log::info!(is_drained; "stopped");
    }
}

/// Starts a guard; must be called within a runtime.
///
/// # Errors
///
/// Says which address cannot be used.
pub fn start_leased_guard(
    settings: &LeasedGuardSettings,
    interface: Arc<dyn TargetInterface>,
) -> Result<LeasedGuard, ListenError> {
    let port = PeerPort::new(settings.peer.address());
    let (orders_tx, orders_rx) = mpsc::unbounded_channel();
    let renew_now = Arc::new(Notify::new());
    let state = build_state(settings, &port, orders_tx, renew_now.clone());
    let state = Shared::new(state);
    log::info!(name = settings.peer.name.as_str(); "a guard starts");

    let port = port.listen()?;
    let registrations = start_registrations(settings.registration_address, &state, &interface)?;
    let metrics = GuardMetrics::new();
    let operations = serve_state_operations(
        settings.peer.metrics_address(),
        &state,
        move |state| metrics.write(state),
        |state| (!state.has_ready_target()).then_some("no target takes work"),
    )?;
    let mut tasks = JoinSet::new();
    tasks.spawn(carry_out_orders(
        state.clone(),
        orders_rx,
        interface.clone(),
    ));
    tasks.spawn(keep_holding(state.clone(), interface, renew_now));
    port.run(state.clone(), TICK, &mut tasks);
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
    let own = Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Guard,
        address: settings.peer.address(),
        version: 0,
    };
    let timings = settings.lease.timings();
    // A later life begins at a later time; should the clock have gone back, the target's refusals raise the token.
    let runner = Runner::new(timings, unix_now().as_millis() as u64);
    let controls = ControlLinks::new(settings.peer.seed_addresses(), port.dial_peers());
    GuardState::new(own, runner, controls, port.dial_peers(), orders, renew_now)
}

/// Sends each order to the target by itself: none waits for the answer to another.
async fn carry_out_orders(
    state: Shared<GuardState>,
    mut orders: mpsc::UnboundedReceiver<TargetOrder>,
    interface: Arc<dyn TargetInterface>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            TargetOrder::Start(order) => {
                let answer = interface.start(order.clone());
                let state = state.clone();
                tokio::spawn(async move {
                    let answer = answer.await;
                    state.lock().start_answered(&order, answer);
                });
            }
            TargetOrder::Stop(order) => {
                log::info!(
                    job = order.task.job.as_str(), index = order.task.index, run = order.run;
                    "a run is stopped"
                );
                tokio::spawn(interface.stop(order));
            }
        }
    }
}

/// Renews the lease again and again; each answer tells what runs and what has ended.
async fn keep_holding(
    state: Shared<GuardState>,
    interface: Arc<dyn TargetInterface>,
    now: Arc<Notify>,
) {
    loop {
        let order = state.lock().plan_renewal();
        let Some(order) = order else {
            // Whether it is told or not, it looks again.
            let _ = timeout(NO_TARGET_PAUSE, now.notified()).await;
            continue;
        };
        let answer = interface.renew(order.clone()).await;
        let is_listed = matches!(answer, RenewalAnswer::Listed { .. });
        state.lock().receive_renewal_answer(&order, answer);
        if !is_listed {
            let is_silent = !state.lock().has_ready_target();
            sleep(if is_silent { SILENT_PAUSE } else { HOLD_PAUSE }).await;
        } else if order.deadline.is_none() {
            // What is not ours is being stopped.
            sleep(HOLD_PAUSE).await;
        }
    }
}

fn start_registrations(
    address: SocketAddr,
    state: &Shared<GuardState>,
    interface: &Arc<dyn TargetInterface>,
) -> Result<Serving, ListenError> {
    let state = state.clone();
    let interface = interface.clone();
    let answer = move |request: Request| {
        let response = match interface.read_registration(&request) {
            Ok(call) => {
                state.lock().registration(call);
                json_response(StatusCode::OK, interface.write_acknowledgement())
            }
            Err(RegistrationRefusal::Unknown) => {
                plain_response(StatusCode::NOT_FOUND, "no such call\n")
            }
            Err(RegistrationRefusal::Malformed(fault)) => {
                log::warn!("a registration cannot be read: {fault}");
                plain_response(StatusCode::BAD_REQUEST, format!("{fault}\n"))
            }
        };
        async move { response }
    };
    serve_at("registration_address", address, HttpLimits::default, answer)
}
