//! The sample target's HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use volo::net::incoming::DefaultIncoming;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::route::{Router, get, post};

use crate::journal::Journal;
use crate::task::SampleTask;

/// Factor in thousandths by which tasks take their given time.
const FULL_SPEED: u64 = 1_000;

/// A running sample target; it stops when dropped.
pub struct SampleTarget {
    address: SocketAddr,
    state: Arc<TargetState>,
    server: JoinHandle<()>,
}

struct TargetState {
    journal: Journal,
    slowness: AtomicU64,
}

impl SampleTarget {
    /// Starts to serve on an address; port 0 lets the system choose.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(TargetState {
            journal: Journal::default(),
            slowness: AtomicU64::new(FULL_SPEED),
        });
        let server = Server::new(build_routes(&state)).http1_only();
        let server = tokio::spawn(async move {
            // Serving ends with the target; its errors show at the guard.
            let _ = server.run(DefaultIncoming::from(listener)).await;
        });
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of starts.
    pub fn journal(&self) -> &Journal {
        &self.state.journal
    }

    /// Makes tasks take `factor` times as long from now on.
    pub fn slow_down(&self, factor: f64) {
        let thousandths = (factor * FULL_SPEED as f64) as u64;
        self.state.slowness.store(thousandths, Ordering::Relaxed);
    }
}

impl Drop for SampleTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

fn build_routes(state: &Arc<TargetState>) -> Router {
    let starting = state.clone();
    let counting = state.clone();
    Router::new()
        .route(
            "/v1/tasks/{submission}/{index}",
            post(move |req: Request| run_task(starting.clone(), req)),
        )
        .route(
            "/v1/usage",
            get(move || {
                let starts = counting.journal.count_starts();
                async move { format!("{{\"starts\":{starts}}}") }
            }),
        )
}

async fn run_task(state: Arc<TargetState>, req: Request) -> (StatusCode, String) {
    let task = req.uri().path().trim_start_matches("/v1/tasks/").to_owned();
    let Ok(body) = req.into_body().collect().await else {
        return (StatusCode::BAD_REQUEST, "the body broke off".into());
    };
    let body = body.to_bytes();
    let began = Instant::now();
    let number = state.journal.note_start(&task, &body);
    let Ok(sample) = serde_json::from_slice::<SampleTask>(&body) else {
        return (StatusCode::UNPROCESSABLE_ENTITY, "not a sample task".into());
    };
    let slowness = state.slowness.load(Ordering::Relaxed);
    sleep(Duration::from_millis(
        sample.duration_ms * slowness / FULL_SPEED,
    ))
    .await;
    state.journal.note_end(number);
    if sample.fails {
        return (StatusCode::INTERNAL_SERVER_ERROR, "asked to fail".into());
    }
    let ran_us = began.elapsed().as_micros() as u64;
    let result = serde_json::json!({ "task": task, "echo": sample.echo, "ran_us": ran_us });
    (StatusCode::OK, result.to_string())
}
