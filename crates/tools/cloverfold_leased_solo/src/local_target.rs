//! A sample target that its guard calls within this process, without a connection.
//!
//! The target adds a clock to a [`TargetState`]. It registers with its guard over HTTP, as every target does.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use cloverfold_http::{HttpClient, Request};
use cloverfold_lease::{
    IncarnationId, RenewalAnswer, RenewalOrder, Resources, StartAnswer, StartOrder, StartTimeMs,
    StopOrder, TargetRegistration, TargetTime,
};
use cloverfold_leased_guard::{CallFuture, RegistrationCall, RegistrationRefusal, TargetInterface};
use http::Method;
use http_body_util::Full;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::target_state::TargetState;

/// Interval of the registrations of a target.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(500);

/// A sample target.
#[derive(Debug)]
pub struct LocalTarget {
    name: String,
    service: String,
    capacity: Resources,
    started_at: Instant,
    start_time: StartTimeMs,
    state: Mutex<TargetState>,
    /// Notified when a run is started or stopped.
    changed: Notify,
}

impl LocalTarget {
    /// Creates a target without runs.
    pub fn new(name: &str, service: &str, capacity: Resources) -> Arc<Self> {
        Arc::new(Self {
            name: name.into(),
            service: service.into(),
            capacity,
            started_at: Instant::now(),
            start_time: read_unix_time_ms(),
            state: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Returns the number of started runs.
    pub fn start_count(&self) -> u64 {
        self.lock().start_count()
    }

    /// Registers with the guard at an address periodically while the future is polled.
    pub async fn register_periodically(self: Arc<Self>, guard: SocketAddr) {
        let client = HttpClient::default();
        loop {
            let request = http::Request::builder()
                .method(Method::PUT)
                .uri("/")
                .body(Full::<Bytes>::default());
            if let Ok(request) = request
                && let Err(cause) = client.call(guard, request, REGISTRATION_INTERVAL).await
            {
                log::debug!(target = self.name.as_str(); "registration with the guard failed: {cause}");
            }
            sleep(REGISTRATION_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, TargetState> {
        // The state stays valid after a panic in a critical section.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the target's clock.
    fn now(&self) -> TargetTime {
        self.started_at.elapsed().as_millis() as TargetTime
    }

    fn describe(&self) -> TargetRegistration {
        let now = self.now();
        TargetRegistration {
            incarnation: IncarnationId {
                name: self.name.clone(),
                start_time: Some(self.start_time),
            },
            service: self.service.clone(),
            address: self.name.clone(),
            capacity: self.capacity,
            labels: Vec::new(),
            is_draining: false,
            clock: Some(now),
            sequence: now,
        }
    }

    /// Waits for the end of a run, at most as long as the renewal allows.
    async fn wait_for_end(&self, limit: Duration) {
        // The answer lists the same data after an end and after a timeout.
        let _ = timeout(limit, self.wait_for_next_end()).await;
    }

    async fn wait_for_next_end(&self) {
        loop {
            let Some(wait) = self.next_wait() else {
                return;
            };
            // Checks again after a change of the runs and after the expected end of the next run.
            let _ = timeout(wait, self.changed.notified()).await;
        }
    }

    /// Returns how long to wait before the next check for an end, or `None` if there is one.
    fn next_wait(&self) -> Option<Duration> {
        let now = self.now();
        let mut state = self.lock();
        state.advance(now);
        if state.has_ends() {
            return None;
        }
        let next = state.next_end();
        Some(next.map_or(Duration::MAX, |end| {
            Duration::from_millis(end.saturating_sub(now))
        }))
    }

    async fn answer_renewal(&self, order: &RenewalOrder) -> RenewalAnswer {
        if !self.lock().renew(order, self.now()) {
            return RenewalAnswer::Fenced;
        }
        self.wait_for_end(order.poll_timeout).await;
        self.lock().list(self.start_time, self.now())
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the clock is before the epoch.
fn read_unix_time_ms() -> StartTimeMs {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as StartTimeMs
}

/// The in-process interface of a guard to its target.
#[derive(Clone, Debug)]
pub struct LocalTargetInterface(pub Arc<LocalTarget>);

impl TargetInterface for LocalTargetInterface {
    fn read_registration(&self, _: &Request) -> Result<RegistrationCall, RegistrationRefusal> {
        Ok(RegistrationCall::Register(self.0.describe()))
    }

    fn write_acknowledgement(&self) -> Vec<u8> {
        Vec::new()
    }

    fn start(&self, order: StartOrder) -> CallFuture<StartAnswer> {
        let target = self.0.clone();
        Box::pin(async move {
            let answer = target.lock().start(&order, target.now());
            target.changed.notify_one();
            answer
        })
    }

    fn stop(&self, order: StopOrder) -> CallFuture<()> {
        let target = self.0.clone();
        Box::pin(async move {
            target.lock().stop(&order, target.now());
            target.changed.notify_one();
        })
    }

    fn renew(&self, order: RenewalOrder) -> CallFuture<RenewalAnswer> {
        let target = self.0.clone();
        Box::pin(async move { target.answer_renewal(&order).await })
    }
}
