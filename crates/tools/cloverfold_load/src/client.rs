//! An HTTP client for entries and metrics pages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use volo_http::body::Body;
use volo_http::client::{Client, ClientBuilder};

/// Maximum idle connections per address.
const POOL_SIZE: usize = 512;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The workspace name and key that authenticate a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerKey {
    /// Name of the workspace.
    pub workspace: String,
    /// The workspace's key.
    pub key: String,
}

/// A job submission.
#[derive(Clone, Debug, Default, Serialize)]
pub struct JobRequest {
    /// Service that runs the tasks.
    pub service: String,
    /// Bodies of the tasks.
    pub tasks: Vec<serde_json::Value>,
    /// `never` or `allowed`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeat: Option<&'static str>,
    /// Time from the arrival to the deadline, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Unix time of the first submission under the idempotency key, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_submitted_unix_ms: Option<u64>,
    /// Idempotency key, under which the job may be submitted again.
    #[serde(skip)]
    pub idempotency_key: Option<String>,
}

/// The answer to a submission or a query.
#[derive(Clone, Debug, Deserialize)]
pub struct JobAnswer {
    /// HTTP status.
    #[serde(skip)]
    pub status: StatusCode,
    /// `complete`, `failed`, `not_run` or `unknown`, or the state of an unfinished job.
    pub outcome: String,
    /// Idempotency key of the submission.
    pub key: Option<String>,
    /// Task results of a complete job.
    pub results: Option<Vec<serde_json::Value>>,
    /// The error of a job that is not complete.
    pub error: Option<serde_json::Value>,
}

impl JobAnswer {
    /// Returns the error code, if there is one.
    pub fn error_code(&self) -> Option<&str> {
        self.error.as_ref()?.get("code")?.as_str()
    }
}

/// Errors of a call without a readable answer.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The connection failed or broke.
    #[error("no answer: {0}")]
    Connection(String),
    /// The body does not match the interface.
    #[error("the answer cannot be read: {0}")]
    Answer(String),
}

/// A client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct CallerClient {
    client: Client<Body>,
}

impl CallerClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns the error of `volo-http`.
    pub fn new() -> Result<Self, LoadError> {
        let mut builder = ClientBuilder::new();
        builder
            .set_max_idle_per_host(POOL_SIZE)
            .set_connect_timeout(CONNECT_TIMEOUT);
        let client = builder
            .build()
            .map_err(|e| LoadError::Connection(e.to_string()))?;
        Ok(Self { client })
    }

    /// Submits a job and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the answer cannot be read.
    pub async fn submit(
        &self,
        entry: SocketAddr,
        caller: &CallerKey,
        job: &JobRequest,
    ) -> Result<JobAnswer, LoadError> {
        let body = serde_json::to_vec(job).map_err(|e| LoadError::Answer(e.to_string()))?;
        let key = job.idempotency_key.as_deref();
        self.submit_raw(entry, caller, key, body.into()).await
    }

    /// Submits an arbitrary body, which may be invalid.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the answer cannot be read.
    pub async fn submit_raw(
        &self,
        entry: SocketAddr,
        caller: &CallerKey,
        idempotency_key: Option<&str>,
        body: Bytes,
    ) -> Result<JobAnswer, LoadError> {
        let mut req = self
            .client
            .post(format!("http://{entry}/v1/jobs"))
            .header("cloverfold-customer", caller.workspace.as_str())
            .header("authorization", format!("Bearer {}", caller.key));
        if let Some(key) = idempotency_key {
            req = req.header("idempotency-key", key);
        }
        let response = req.body(Body::from(body)).send().await;
        read_answer(response.map_err(|e| LoadError::Connection(e.to_string()))?).await
    }

    /// Queries the state of a submission.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the answer cannot be read.
    pub async fn query(
        &self,
        entry: SocketAddr,
        caller: &CallerKey,
        key: &str,
    ) -> Result<JobAnswer, LoadError> {
        let response = self
            .client
            .get(format!("http://{entry}/v1/jobs/{key}"))
            .header("cloverfold-customer", caller.workspace.as_str())
            .header("authorization", format!("Bearer {}", caller.key))
            .body(Body::empty())
            .send()
            .await;
        read_answer(response.map_err(|e| LoadError::Connection(e.to_string()))?).await
    }

    /// Reads a page as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks.
    pub async fn get_text(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<(StatusCode, String), LoadError> {
        let response = self
            .client
            .get(format!("http://{address}{path}"))
            .body(Body::empty())
            .send()
            .await
            .map_err(|e| LoadError::Connection(e.to_string()))?;
        let status = response.status();
        let body = read_body(response).await?;
        Ok((status, String::from_utf8_lossy(&body).into_owned()))
    }
}

async fn read_body(response: volo_http::response::Response) -> Result<Bytes, LoadError> {
    let body = response.into_body().collect().await;
    let body = body.map_err(|e| LoadError::Connection(e.to_string()))?;
    Ok(body.to_bytes())
}

async fn read_answer(response: volo_http::response::Response) -> Result<JobAnswer, LoadError> {
    let status = response.status();
    let body = read_body(response).await?;
    let mut answer: JobAnswer = serde_json::from_slice(&body).map_err(|e| {
        let text = String::from_utf8_lossy(&body);
        LoadError::Answer(format!("{e}: {status} {text}"))
    })?;
    answer.status = status;
    Ok(answer)
}
