//! The HTTP/1.1 client of the leased processes and of operators' commands.
//!
//! Sends a request and reads the whole answer within one time limit. Owns the idle connections to each address, each used by one call at
//! a time. Relies on `hyper` for HTTP/1.1 and on the runtime that it is called in.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
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
/// silent. One alone may be a lost answer: closing at the first cost 0.01 of the worth on a loaded day on which four of ten targets lose
/// answers (two seeds), most of it in the seconds of the loss.
const SILENT_AFTER: u32 = 2;

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
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

/// What is known of one address.
#[derive(Debug, Default)]
struct Peer {
    idle: Vec<Connection>,
    /// Calls that were given up since the last answer.
    given_up_in_a_row: u32,
}

impl HttpClient {
    /// Sends a request and reads the whole answer within `limit`, the time to connect included.
    ///
    /// Connections can go silent together, without an error. So after [`SILENT_AFTER`] calls that were given up in a row the idle
    /// connections are closed: each would cost a call.
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
        let exchange = self.exchange(address, request);
        match timeout(limit, exchange).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.record_given_up(address);
                Err(HttpCallError::Unanswered("timed out".into()))
            }
        }
    }

    /// Counts a call that was given up, and closes the idle connections if there were too many in a row.
    fn record_given_up(&self, address: SocketAddr) {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_default();
        peer.given_up_in_a_row += 1;
        if peer.given_up_in_a_row >= SILENT_AFTER {
            peers.remove(&address);
        }
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), HttpCallError> {
        let mut connection = self.connect(address).await?;
        let unanswered = |cause: hyper::Error| HttpCallError::Unanswered(cause.to_string());
        let response = connection.send_request(request).await.map_err(unanswered)?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|cause| HttpCallError::Unanswered(cause.to_string()))?
            .to_bytes();
        self.keep(address, connection);
        Ok((head.status, head.headers, body))
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
