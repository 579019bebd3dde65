//! The guard process, put together.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cloverfold_base::unix_now;
use cloverfold_http::{
    HttpLimits, ListenError, Request, Serving, json_response, listen_at, plain_response, serve_at,
    serve_operations,
};
use cloverfold_lease::{RenewalAnswer, Runner, Timings};
use cloverfold_leased_settings::LeasedGuardSettings;
use cloverfold_link::accept_links;
use cloverfold_peer::{ControlLinks, DialedPeers, Hello, PeerRole};
use http::StatusCode;
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::interface::{RegistrationRefusal, TargetInterface};
use crate::metrics::GuardMetrics;
use crate::state::{GuardState, TargetOrder};

const TICK: Duration = Duration::from_millis(20);
const LINK_EVENTS: usize = 1_024;
/// Pause after a renewal that was not answered at all.
const HOLD_PAUSE: Duration = Duration::from_millis(10);
/// The same while the target has been silent for some time: each renewal that is not answered costs a connection.
const SILENT_PAUSE: Duration = Duration::from_millis(60);
/// Pause while no target is known.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(200);

type SharedState = Arc<Mutex<GuardState>>;

/// A guard that runs.
pub struct LeasedGuard {
    state: SharedState,
    registrations: Serving,
    _metrics: Option<Serving>,
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
        lock(&self.state).set_seeds(settings.peer.seed_addresses());
    }

    /// Stops as planned: no new run is taken, and those that are held end.
    pub async fn stop(self) {
        const PAUSE: Duration = Duration::from_millis(20);
        log::info!("draining");
        lock(&self.state).leave();
        let drained = async {
            while lock(&self.state).held() > 0 {
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
    let own_address = settings.peer.address();
    let own = Hello {
        name: settings.peer.name.clone(),
        role: PeerRole::Guard,
        address: own_address,
        version: 0,
    };
    let lease = &settings.lease;
    let timings = Timings::with_bounds(lease.session(), lease.lease(), lease.stop());
    // A later life begins at a later time; should the clock have gone back, the target's refusals raise the token.
    let runner = Runner::new(timings, unix_now().as_millis() as u64);
    let (link_tx, mut link_rx) = mpsc::channel(LINK_EVENTS);
    let (order_tx, order_rx) = mpsc::unbounded_channel();
    let renew_now = Arc::new(Notify::new());
    let state = GuardState::new(
        own,
        runner,
        ControlLinks::new(
            settings.peer.seed_addresses(),
            DialedPeers::new(own_address, link_tx.clone()),
        ),
        DialedPeers::new(own_address, link_tx.clone()),
        order_tx,
        renew_now.clone(),
    );
    let state = Arc::new(Mutex::new(state));
    log::info!(name = settings.peer.name.as_str(); "a guard starts");

    let listener = listen_at("peer.port", own_address)?;
    let registrations = start_registrations(settings.registration_address, &state, &interface)?;
    let metrics = GuardMetrics::new();
    let metrics = serve_operations(
        settings.peer.metrics_address(),
        {
            let state = state.clone();
            move || metrics.write(&lock(&state))
        },
        {
            let state = state.clone();
            move || (!lock(&state).has_ready_target()).then_some("no target takes work")
        },
    )?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept_links(listener, link_tx));
    tasks.spawn(carry_out_orders(state.clone(), order_rx, interface.clone()));
    tasks.spawn(keep_holding(state.clone(), interface, renew_now));
    tasks.spawn({
        let state = state.clone();
        async move {
            lock(&state).begin();
            let mut ticks = interval(TICK);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    Some(event) = link_rx.recv() => lock(&state).link_event(event),
                    _ = ticks.tick() => lock(&state).tick(),
                }
            }
        }
    });
    Ok(LeasedGuard {
        state,
        registrations,
        _metrics: metrics,
        drain_timeout: settings.drain_timeout(),
        _tasks: tasks,
    })
}

fn lock(state: &SharedState) -> std::sync::MutexGuard<'_, GuardState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends each order to the target by itself: none waits for the answer to another.
async fn carry_out_orders(
    state: SharedState,
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
                    lock(&state).start_answered(&order, answer);
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
async fn keep_holding(state: SharedState, interface: Arc<dyn TargetInterface>, now: Arc<Notify>) {
    loop {
        let order = lock(&state).plan_renewal();
        let Some(order) = order else {
            // Whether it is told or not, it looks again.
            let _ = timeout(NO_TARGET_PAUSE, now.notified()).await;
            continue;
        };
        let answer = interface.renew(order.clone()).await;
        let is_listed = matches!(answer, RenewalAnswer::Listed { .. });
        lock(&state).receive_renewal_answer(&order, answer);
        if !is_listed {
            let is_silent = !lock(&state).has_ready_target();
            sleep(if is_silent { SILENT_PAUSE } else { HOLD_PAUSE }).await;
        } else if order.deadline.is_none() {
            // What is not ours is being stopped.
            sleep(HOLD_PAUSE).await;
        }
    }
}

fn start_registrations(
    address: SocketAddr,
    state: &SharedState,
    interface: &Arc<dyn TargetInterface>,
) -> Result<Serving, ListenError> {
    let state = state.clone();
    let interface = interface.clone();
    let answer = move |request: Request| {
        let response = match interface.read_registration(&request) {
            Ok(call) => {
                lock(&state).registration(call);
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
