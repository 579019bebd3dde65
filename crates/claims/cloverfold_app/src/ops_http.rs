//! The HTTP server of a claims process, with `/healthz`, `/readyz` and `/metrics`.

use std::net::SocketAddr;
use std::sync::Arc;

use cloverfold_telemetry::encode_metrics;
use http::StatusCode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use volo::net::incoming::DefaultIncoming;
use volo_http::response::Response;
use volo_http::server::route::{Router, get};
use volo_http::server::{IntoResponse, Server};

use crate::lifecycle::{Lifecycle, Phase};

/// Content type of `/metrics`.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Readiness check, which returns the reason if the process is not ready.
pub(crate) type ReadyCheck = Box<dyn Fn() -> Result<(), String> + Send + Sync>;

pub(crate) struct OpsState {
    lifecycle: Lifecycle,
    registry: Registry,
    ready_checks: Vec<ReadyCheck>,
}

impl OpsState {
    pub(crate) fn new(
        lifecycle: Lifecycle,
        registry: Registry,
        ready_checks: Vec<ReadyCheck>,
    ) -> Self {
        Self {
            lifecycle,
            registry,
            ready_checks,
        }
    }

    /// Returns the reason why the process is not ready, if it is not.
    pub(crate) fn unready_reason(&self) -> Option<String> {
        if self.lifecycle.phase() != Phase::Serving {
            return Some("the process is stopping".into());
        }
        self.ready_checks.iter().find_map(|check| check().err())
    }

    fn answer_readiness(&self) -> (StatusCode, String) {
        match self.unready_reason() {
            None => (StatusCode::OK, "ready\n".to_owned()),
            Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    fn answer_metrics(&self) -> Response {
        match encode_metrics(&self.registry) {
            Ok(text) => ([("content-type", OPEN_METRICS)], text).into_response(),
            Err(cause) => {
                log::error!("the metrics cannot be encoded: {cause}");
                StatusCode::INTERNAL_SERVER_ERROR.into_response()
            }
        }
    }
}

/// Builds the routes `/healthz`, `/readyz` and `/metrics`.
pub(crate) fn build_ops_router(state: Arc<OpsState>) -> Router {
    let ready = state.clone();
    let metrics = state;
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route(
            "/readyz",
            get(move || {
                let ready = ready.clone();
                async move { ready.answer_readiness() }
            }),
        )
        .route(
            "/metrics",
            get(move || {
                let metrics = metrics.clone();
                async move { metrics.answer_metrics() }
            }),
        )
}

/// An HTTP server that listens but does not serve yet.
pub(crate) struct HttpServer {
    listener: TcpListener,
}

impl HttpServer {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { listener })
    }

    /// Returns the local address of the server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves routes until the process has stopped.
    pub(crate) async fn serve(self, routes: Router, lifecycle: Lifecycle) {
        let shutdown = lifecycle.clone();
        let server = Server::new(routes)
            .http1_only()
            // Without a hook `volo` stops at the first SIGTERM, but the server must run until the process has drained.
            .register_shutdown_hook(move || {
                Box::pin(async move { shutdown.wait_for(Phase::Stopped).await })
            });
        let serving = server.run(DefaultIncoming::from(self.listener));
        tokio::select! {
            ended = serving => {
                if let Err(cause) = ended {
                    log::error!("the HTTP server ended: {cause}");
                }
            }
            () = lifecycle.wait_for(Phase::Stopped) => {}
        }
    }
}
