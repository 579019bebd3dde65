//! HTTP/1.1 client with a connection pool, for the leased processes and operator commands.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of idle connections to one address.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Number of consecutive timeouts of calls to an address after which its idle connections count as half-open. A single timeout may be a
/// lost response.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 2;

/// How long to wait for a late response after a call has timed out, so that its connection can be reused. Far above the few milliseconds
/// by which responses of a busy peer are late.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

type Connection = SendRequest<Full<Bytes>>;

/// Why a call has no usable response; only a request that was not sent can be retried safely.
#[derive(Debug, thiserror::Error)]
pub enum HttpCallError {
    /// There is no connection, so the request was not received.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// A client that reuses connections. Share one instance, because each has its own connection pool.
#[derive(Debug, Default)]
pub struct HttpClient {
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Sends a request and reads the whole response within `limit`, which includes the time to connect.
    ///
    /// Idle connections can become half-open together, without an error, and each would cost one call. So the client closes the idle
    /// connections to an address after [`MAX_CONSECUTIVE_TIMEOUTS`]. A connection whose response is merely late is reused afterwards.
    ///
    /// # Errors
    ///
    /// Returns [`HttpCallError::NotSent`] if the request was not received, and [`HttpCallError::Unanswered`] if it may have been, which
    /// includes every timeout.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), HttpCallError> {
        let exchange = exchange(self.pool.clone(), address, request);
        let mut exchange = Box::pin(exchange);
        match timeout(limit, &mut exchange).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                if self.pool.record_timeout(address) {
                    // The outcome is ignored: the exchange returns its connection to the pool if a late response arrives.
                    tokio::spawn(timeout(LATE_RESPONSE_TIMEOUT, exchange));
                }
                Err(HttpCallError::Unanswered("timed out".into()))
            }
        }
    }
}

async fn exchange(
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, HeaderMap, Bytes), HttpCallError> {
    let mut connection = pool.connect(address).await?;
    let unanswered = |cause: hyper::Error| HttpCallError::Unanswered(cause.to_string());
    let response = connection.send_request(request).await.map_err(unanswered)?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|cause| HttpCallError::Unanswered(cause.to_string()))?
        .to_bytes();
    pool.release(address, connection);
    Ok((head.status, head.headers, body))
}

/// Idle connections to all addresses.
#[derive(Debug, Default)]
struct ConnectionPool {
    addresses: Mutex<HashMap<SocketAddr, AddressState>>,
}

/// State of one address.
#[derive(Debug, Default)]
struct AddressState {
    idle: Vec<Connection>,
    /// Number of timeouts since the last response.
    consecutive_timeouts: u32,
}

impl ConnectionPool {
    /// Records a timeout; returns whether to wait for a late response. After too many consecutive timeouts the idle connections count as
    /// half-open and are closed.
    fn record_timeout(&self, address: SocketAddr) -> bool {
        let mut addresses = self.lock_addresses();
        let state = addresses.entry(address).or_default();
        state.consecutive_timeouts += 1;
        let is_half_open = state.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS;
        if is_half_open {
            state.idle.clear();
        }
        !is_half_open
    }

    fn lock_addresses(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressState>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection that is still open, or opens one.
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
        // A failure only costs latency, because small requests may then wait for acknowledgements.
        let _ = stream.set_nodelay(true);
        let (connection, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|cause| not_sent(cause.to_string()))?;
        tokio::spawn(async move {
            if let Err(cause) = driver.await {
                log::debug!("connection failed: {cause}");
            }
        });
        Ok(connection)
    }

    /// Takes the most recently used idle connection to an address.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.lock_addresses().get_mut(&address)?.idle.pop()
    }

    /// Returns a connection to the pool after a response, unless there are [`MAX_IDLE_CONNECTIONS`].
    fn release(&self, address: SocketAddr, connection: Connection) {
        let mut addresses = self.lock_addresses();
        let state = addresses.entry(address).or_default();
        state.consecutive_timeouts = 0;
        if state.idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            state.idle.push(connection);
        }
    }
}
