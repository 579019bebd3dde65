//! The HTTP/1.1 client of the leased processes and of operators' commands.
//!
//! Sends a request and reads the whole answer within one time limit. Owns the idle connections to each address, each used by one call at
//! a time. Relies on `hyper` for HTTP/1.1 and on the runtime that it is called in.

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

/// Longest body of an answer, in bytes. Chosen, not measured.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Idle connections that are kept to one address. Chosen, not measured.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// After so many calls to an address that were given up in a row, without an answer on any connection, its idle connections count as
/// silent. One alone may be a lost answer. Measured on a loaded day on which four targets lose answers, four seeds, against no closing
/// at all: closing at the first changed the worth by -0.003 +- 0.009 and opened more connections, at the second by +0.004 +- 0.007.
const SILENT_AFTER: u32 = 2;

/// How long the answer to a call that was given up may still come: its connection is then kept for the next calls, which else would open
/// one. Far above the few milliseconds by which answers of a busy peer are late.
const LATE_ANSWER_LIMIT: Duration = Duration::from_secs(1);

type Connection = SendRequest<Full<Bytes>>;

/// Why a call has no usable answer; the caller may safely repeat only what was not sent.
#[derive(Debug, thiserror::Error)]
pub enum HttpCallError {
    /// No connection: the request was certainly not received.
    #[error("no connection: {0}")]
    NotSent(String),
    /// The request may have been received.
    #[error("no answer: {0}")]
    Unanswered(String),
}

/// A client that reuses connections; share one, since each keeps its own.
#[derive(Debug, Default)]
pub struct HttpClient {
    pool: Arc<ConnectionPool>,
}

impl HttpClient {
    /// Sends a request and reads the whole answer within `limit`, the time to connect included.
    ///
    /// Connections can go silent together, without an error. So after [`SILENT_AFTER`] calls that were given up in a row the idle
    /// connections are closed: each would cost a call. An answer that is merely late frees its connection for later calls.
    ///
    /// # Errors
    ///
    /// Returns [`HttpCallError::NotSent`] if the request certainly did not arrive, [`HttpCallError::Unanswered`] if it may have, which
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
                if self.pool.record_given_up(address) {
                    // Nobody waits for the outcome: the exchange itself keeps its connection if the answer comes.
                    tokio::spawn(timeout(LATE_ANSWER_LIMIT, exchange));
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
    let body = Limited::new(body, MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|cause| HttpCallError::Unanswered(cause.to_string()))?
        .to_bytes();
    pool.keep(address, connection);
    Ok((head.status, head.headers, body))
}

/// The idle connections to all addresses.
#[derive(Debug, Default)]
struct ConnectionPool {
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

/// What is known of one address.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Connection>,
    /// Calls that were given up since the last answer.
    given_up_in_a_row: u32,
}

impl ConnectionPool {
    /// Counts a call that was given up; returns whether its answer may be merely late. After too many in a row the address counts as
    /// silent, and its idle connections are closed.
    fn record_given_up(&self, address: SocketAddr) -> bool {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_default();
        peer.given_up_in_a_row += 1;
        let is_silent = peer.given_up_in_a_row >= SILENT_AFTER;
        if is_silent {
            peer.idle.clear();
        }
        !is_silent
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
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
        // A failure only costs latency: requests may then wait for acknowledgements.
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

    /// Removes and returns the idle connection to an address that was used last.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        self.peers().get_mut(&address)?.idle.pop()
    }

    /// Keeps a connection that has brought an answer for the next call, up to [`MAX_IDLE_CONNECTIONS`].
    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_default();
        peer.given_up_in_a_row = 0;
        if peer.idle.len() < MAX_IDLE_CONNECTIONS && !connection.is_closed() {
            peer.idle.push(connection);
        }
    }
}
