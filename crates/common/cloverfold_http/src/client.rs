//! The client: few connections to each address, each used by one call at a time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest answer, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;
/// Idle connections that are kept to one address.
const MAX_IDLE: usize = 8;

type Connection = SendRequest<Full<Bytes>>;

/// Why a call has no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum HttpCallError {
    /// No connection: the request was certainly not received.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// Calls servers and keeps their connections.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl HttpClient {
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Tells apart whether the request certainly did not arrive or may have.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), HttpCallError> {
        let exchange = self.exchange(address, request);
        match timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Err(HttpCallError::Unanswered("timed out".into())),
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), HttpCallError> {
        let mut connection = self.connect(address).await?;
        let unanswered = |cause: String| HttpCallError::Unanswered(cause);
        let response = connection
            .send_request(request)
            .await
            .map_err(|cause| unanswered(cause.to_string()))?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER)
            .collect()
            .await
            .map_err(|cause| unanswered(cause.to_string()))?
            .to_bytes();
        self.keep(address, connection);
        Ok((head.status, head.headers, body))
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, HttpCallError> {
        while let Some(mut connection) = self.take_idle(address) {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let not_sent = |cause: String| HttpCallError::NotSent(cause);
        let stream = TcpStream::connect(address)
            .await
            .map_err(|cause| not_sent(cause.to_string()))?;
        // Without the option requests may wait for acknowledgements; all else is in order.
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| not_sent(cause.to_string()))?;
        tokio::spawn(async move {
            if let Err(cause) = driver.await {
                log::debug!("a connection ended: {cause}");
            }
        });
        Ok(connection)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let connection = connections.pop();
        if connections.is_empty() {
            idle.remove(&address);
        }
        connection
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE && !connection.is_closed() {
            connections.push(connection);
        }
    }
}
