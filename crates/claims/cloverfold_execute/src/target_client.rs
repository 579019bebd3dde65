//! HTTP client of a target, with pooled connections and a limit on concurrent requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_claims_core::{TaskId, format_key};
use cloverfold_claims_settings::TargetSettings;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Deserialize;
use tokio::sync::Semaphore;
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

/// Largest result of a task, in bytes.
const MAX_RESULT_LEN: usize = 1024 * 1024;
/// Idle connections are closed after this time, which is shorter than the idle timeout of most servers.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
const USAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest usage report, in bytes.
const MAX_USAGE_LEN: usize = 64 * 1024;

/// Response header with which a target declares that it did not start a task.
const NOT_STARTED_HEADER: &str = "cloverfold-not-started";

/// Answer of a target to a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetAnswer {
    /// The task succeeded with this result.
    Done(Vec<u8>),
    /// The target did not start the task.
    NotStarted,
    /// The task failed; contains the status and the start of the body.
    Failed(String),
}

/// Why a request got no answer; a started task may have run.
#[derive(Debug, thiserror::Error)]
pub enum TargetError {
    /// The HTTP client cannot be built from the settings.
    #[error("the client cannot be built: {0}")]
    Build(String),
    /// The connection broke or could not be opened.
    #[error("the target did not answer: {0}")]
    Connection(String),
    /// The task exceeded its timeout.
    #[error("the target did not answer within {0:?}")]
    Timeout(Duration),
    /// The result is too large or incomplete.
    #[error("the result could not be read: {0}")]
    Result(String),
}

/// Usage report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct TargetUsage {
    /// Tasks that the target has started since its own start.
    pub starts: u64,
}

/// Pooled connections to one target.
#[derive(Clone)]
pub struct TargetClient {
    client: Client<Body>,
    address: SocketAddr,
    timeout: Duration,
    can_cancel: bool,
    connections: Arc<Semaphore>,
}

impl TargetClient {
    /// Builds a client from the target's settings.
    ///
    /// # Errors
    ///
    /// Returns [`TargetError::Build`] with the library's error.
    pub fn new(settings: &TargetSettings) -> Result<Self, TargetError> {
        let mut builder = ClientBuilder::new();
        builder
            .set_pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .set_max_idle_per_host(settings.connections)
            .set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder
            .build()
            .map_err(|e| TargetError::Build(e.to_string()))?;
        Ok(Self {
            client,
            address: settings.address,
            timeout: settings.task_timeout,
            can_cancel: settings.can_cancel,
            connections: Arc::new(Semaphore::new(settings.connections)),
        })
    }

    /// Starts a task and waits for its end.
    ///
    /// The request is sent only once: after a broken connection the task may be running.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; the task may have run.
    pub async fn start(&self, id: &TaskId, payload: Bytes) -> Result<TargetAnswer, TargetError> {
        let exchange = self.exchange(Method::POST, id, payload);
        let answer = tokio::time::timeout(self.timeout, exchange).await;
        answer.unwrap_or(Err(TargetError::Timeout(self.timeout)))
    }

    /// Asks the target to stop a task, if it supports that.
    pub async fn cancel(&self, id: &TaskId) {
        if !self.can_cancel {
            return;
        }
        let exchange = self.exchange(Method::DELETE, id, Bytes::new());
        // A cancellation only saves work, so its failure is ignored.
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, exchange).await;
    }

    /// Reads the target's usage report; returns `None` if it has none or does not answer.
    pub async fn read_usage(&self) -> Option<TargetUsage> {
        let _permit = self.connections.acquire().await;
        let request = self
            .client
            .get(format!("http://{}/v1/usage", self.address))
            .body(Body::empty())
            .send();
        let response = tokio::time::timeout(USAGE_TIMEOUT, request).await.ok()?;
        let body = Limited::new(response.ok()?.into_body(), MAX_USAGE_LEN).collect();
        let body = body.await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Sends one request about a task and reads the whole answer.
    async fn exchange(
        &self,
        method: Method,
        id: &TaskId,
        payload: Bytes,
    ) -> Result<TargetAnswer, TargetError> {
        let _permit = self.connections.acquire().await;
        let key = format_key(&id.key);
        let path = format!("http://{}/v1/tasks/{key}/{}", self.address, id.index);
        let response = self
            .client
            .request(method, path)
            .header("content-type", "application/json")
            .body(Body::from(payload))
            .send()
            .await
            .map_err(|e| TargetError::Connection(e.to_string()))?;
        let status = response.status();
        let has_not_started_header = response.headers().contains_key(NOT_STARTED_HEADER);
        let body = Limited::new(response.into_body(), MAX_RESULT_LEN).collect();
        let body = body.await.map_err(|e| TargetError::Result(e.to_string()))?;
        Ok(classify_answer(
            status,
            has_not_started_header,
            &body.to_bytes(),
        ))
    }
}

/// Classifies an answer by its status and headers.
fn classify_answer(status: StatusCode, has_not_started_header: bool, body: &Bytes) -> TargetAnswer {
    /// Bytes of the body that the message of a failed answer contains.
    const MAX_SHOWN_LEN: usize = 200;
    if status.is_success() {
        TargetAnswer::Done(body.to_vec())
    } else if has_not_started_header && status == StatusCode::SERVICE_UNAVAILABLE {
        TargetAnswer::NotStarted
    } else {
        let shown = &body[..body.len().min(MAX_SHOWN_LEN)];
        let shown = String::from_utf8_lossy(shown);
        TargetAnswer::Failed(format!("the target answered {status}: {shown}"))
    }
}
