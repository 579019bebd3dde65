//! The HTTP server of the sample target.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use volo::net::incoming::DefaultIncoming;
use volo_http::request::Request;
use volo_http::server::Server;
use volo_http::server::route::{Router, get, post};

use crate::journal::Journal;
use crate::task::SampleTask;

/// A running sample target, which stops when it is dropped.
pub struct SampleTarget {
    address: SocketAddr,
    state: Arc<TargetState>,
    server: JoinHandle<()>,
}

struct TargetState {
    journal: Journal,
    /// Names of the cancelled tasks, whether or not they were running.
    cancelled: watch::Sender<BTreeSet<String>>,
}

impl SampleTarget {
    /// Starts serving on an address; port 0 lets the system choose a port.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(TargetState {
            journal: Journal::default(),
            cancelled: watch::Sender::default(),
        });
        let server = Server::new(build_routes(&state)).http1_only();
        let server = tokio::spawn(async move {
            // The server runs until the target is dropped. An earlier error shows as missing answers at the guard.
            let _ = server.run(DefaultIncoming::from(listener)).await;
        });
        Ok(Self {
            address,
            state,
            server,
        })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the journal of starts.
    pub fn journal(&self) -> &Journal {
        &self.state.journal
    }

    /// Lists the cancelled tasks.
    pub fn list_cancelled(&self) -> Vec<String> {
        self.state.cancelled.borrow().iter().cloned().collect()
    }
}

impl Drop for SampleTarget {
    fn drop(&mut self) {
        self.server.abort();
    }
}

fn build_routes(state: &Arc<TargetState>) -> Router {
    let start_state = state.clone();
    let cancel_state = state.clone();
    let usage_state = state.clone();
    Router::new()
        .route(
            "/v1/tasks/{submission}/{index}",
            post(move |req: Request| run_task(start_state.clone(), req))
                .delete(move |req: Request| cancel_task(cancel_state.clone(), req)),
        )
        .route(
            "/v1/usage",
            get(move || {
                let starts = usage_state.journal.count_starts();
                async move { format!("{{\"starts\":{starts}}}") }
            }),
        )
}

/// Returns the task name `<submission>/<index>` from the path of a request.
fn task_name(req: &Request) -> String {
    req.uri().path().trim_start_matches("/v1/tasks/").to_owned()
}

async fn cancel_task(state: Arc<TargetState>, req: Request) -> StatusCode {
    let task = task_name(&req);
    state.cancelled.send_modify(|tasks| {
        tasks.insert(task);
    });
    StatusCode::OK
}

async fn wait_cancelled(state: &TargetState, task: &str) {
    let mut rx = state.cancelled.subscribe();
    // Cannot fail: the borrowed state owns the sender.
    let _ = rx.wait_for(|tasks| tasks.contains(task)).await;
}

/// Records the start, runs for the duration in the body, and answers as the body says, or with 409 if the task is cancelled.
async fn run_task(state: Arc<TargetState>, req: Request) -> (StatusCode, String) {
    let task = task_name(&req);
    let Ok(body) = req.into_body().collect().await else {
        return (StatusCode::BAD_REQUEST, "the body broke off".into());
    };
    let body = body.to_bytes();
    let started = Instant::now();
    let index = state.journal.record_start(&task, &body);
    let Ok(sample) = serde_json::from_slice::<SampleTask>(&body) else {
        return (StatusCode::UNPROCESSABLE_ENTITY, "not a sample task".into());
    };
    let duration = Duration::from_millis(sample.duration_ms);
    let is_cancelled = tokio::select! {
        () = sleep(duration) => false,
        () = wait_cancelled(&state, &task) => true,
    };
    state.journal.record_end(index);
    if is_cancelled {
        return (StatusCode::CONFLICT, "cancelled".into());
    }
    if sample.fails {
        return (StatusCode::INTERNAL_SERVER_ERROR, "asked to fail".into());
    }
    let ran_us = started.elapsed().as_micros() as u64;
    let result = serde_json::json!({ "task": task, "echo": sample.echo, "ran_us": ran_us });
    (StatusCode::OK, result.to_string())
}
