//! HTTP/1.1 server with request limits and graceful shutdown.
//!
//! The server reads each request in full before it calls the handler.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_connections::{Connection, ConnectionBudget, Phase};
use cloverfold_link::set_socket_options;
use http::StatusCode;
use http::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::body::{BodyError, read_body};
use crate::limits::{
    CONNECTION_BYTES, HEADER_ENTRY_BYTES, HttpLimits, SMALL_HEADER_COUNT, SMALL_MESSAGE_BYTES,
};
use crate::messages::{Request, Response, plain_response};
use crate::metered_stream::{MeteredStream, PendingResponse};

/// When a client that was refused for lack of memory may try again, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;
/// Delay after a failed accept, so that the server does not busy-loop while there are no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Phase of the graceful shutdown of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The server serves requests.
    #[default]
    Serving,
    /// The server serves requests, and responds with `Connection: close` so that clients reconnect elsewhere.
    Draining,
    /// The server accepts no connections, finishes requests in flight and closes idle connections.
    Closing,
}

/// Handle of a running server; dropping it has the effect of [`ShutdownPhase::Closing`].
#[derive(Debug)]
pub struct ServerHandle {
    phase: watch::Sender<ShutdownPhase>,
    address: SocketAddr,
}

impl ServerHandle {
    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Advances the graceful shutdown to a later phase; ignores an earlier one.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            *current = (*current).max(phase);
            is_later
        });
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        self.phase.closed().await;
    }
}

/// Serves requests on a listener; calls `limits` for each connection and for each request. All connections together stay within `budget`.
///
/// The server drops the future of a handler if its client disconnects before the response. Must be called within a runtime.
///
/// # Errors
///
/// Returns the system's error if the listener has no local address.
pub fn serve<L, H, F>(
    listener: TcpListener,
    limits: L,
    budget: ConnectionBudget,
    handler: H,
) -> std::io::Result<ServerHandle>
where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let address = listener.local_addr()?;
    let (phase, phase_rx) = watch::channel(ShutdownPhase::Serving);
    let server = Server {
        limits: Arc::new(limits),
        handler: Arc::new(handler),
        phase: phase_rx,
    };
    tokio::spawn(accept_connections(listener, budget, server));
    Ok(ServerHandle { phase, address })
}

/// What all connections of a server share.
struct Server<L, H> {
    limits: Arc<L>,
    handler: Arc<H>,
    phase: watch::Receiver<ShutdownPhase>,
}

impl<L, H> Clone for Server<L, H> {
    fn clone(&self) -> Self {
        Self {
            limits: self.limits.clone(),
            handler: self.handler.clone(),
            phase: self.phase.clone(),
        }
    }
}

/// Accepts connections until the server closes, and serves each in its own task.
async fn accept_connections<L, H, F>(
    listener: TcpListener,
    budget: ConnectionBudget,
    server: Server<L, H>,
) where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut closing = server.phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // A refused connection closes here; the budget counts and logs it.
                if let Ok(connection) = budget.open(CONNECTION_BYTES).await {
                    tokio::spawn(server.clone().serve_connection(stream, connection));
                }
            }
            Err(cause) => {
                log::warn!("cannot accept connection: {cause}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the server closes or its handle is dropped.
async fn wait_until_closing(phase: &mut watch::Receiver<ShutdownPhase>) {
    // Fails only if the handle was dropped, which closes the server too.
    let _ = phase
        .wait_for(|phase| *phase == ShutdownPhase::Closing)
        .await;
}

impl<L, H, F> Server<L, H>
where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    /// Serves a connection until it ends or the budget closes it.
    async fn serve_connection(self, stream: TcpStream, connection: Connection) {
        let connection = Arc::new(connection);
        tokio::select! {
            () = self.serve_requests(stream, connection.clone()) => {}
            () = connection.wait_closed() => {}
        }
    }

    async fn serve_requests(mut self, stream: TcpStream, connection: Arc<Connection>) {
        let limits = (self.limits)();
        // Without this timeout, a client that disappears or stops reading a response would keep its connection and file descriptor open.
        set_socket_options(&stream, limits.idle_timeout);
        let response = Arc::<PendingResponse>::default();
        let stream = MeteredStream::new(
            stream,
            connection.clone(),
            response.clone(),
            limits.large_message_bytes(),
        );
        let server = self.clone();
        let service = service_fn(move |request: http::Request<Incoming>| {
            let (server, connection) = (server.clone(), connection.clone());
            let pending = response.clone();
            async move { server.respond(request, connection, &pending).await }
        });
        let serving = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.header_buffer_bytes())
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = std::pin::pin!(serving);
        let ended = tokio::select! {
            ended = serving.as_mut() => ended,
            () = wait_until_closing(&mut self.phase) => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        };
        if let Err(cause) = ended {
            // Not a warning, because clients may disconnect at any time.
            log::debug!("connection failed: {cause}");
        }
    }

    /// Responds to a request of a connection.
    async fn respond(
        &self,
        request: http::Request<Incoming>,
        connection: Arc<Connection>,
        pending: &PendingResponse,
    ) -> Result<Response, ResponseDropped> {
        // A pipelined request was received before the response to the one before it was sent.
        connection.enter(Phase::Receiving);
        let mut response = self.handle_request(request, connection.clone()).await;
        ask_to_reconnect(&mut response, *self.phase.borrow());
        connection.enter(Phase::Responding);
        let len = response.body().size_hint().lower();
        let len = usize::try_from(len).unwrap_or(usize::MAX);
        let held = if len > SMALL_MESSAGE_BYTES {
            Some(connection.hold(len).await.map_err(|_| ResponseDropped)?)
        } else {
            None
        };
        pending.begin(held);
        Ok(response)
    }

    /// Reads the body within the limits and runs the handler; refuses a body that exceeds a limit without running the handler.
    async fn handle_request(
        &self,
        request: http::Request<Incoming>,
        connection: Arc<Connection>,
    ) -> Response {
        let limits = (self.limits)();
        let (head, body) = request.into_parts();
        let table_bytes = head.headers.capacity() * HEADER_ENTRY_BYTES;
        let _held = if head.headers.len() > SMALL_HEADER_COUNT {
            match connection.hold(table_bytes).await {
                Ok(held) => Some(held),
                Err(_) => return no_memory_response(),
            }
        } else {
            None
        };
        let reading = read_body(body, limits.body_bytes, &connection);
        let body = match timeout(limits.body_timeout, reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return refused_body_response(&cause),
            Err(_) => {
                return plain_response(StatusCode::REQUEST_TIMEOUT, "the body came too slowly\n");
            }
        };
        if connection.begin_handling().is_err() {
            return no_memory_response();
        }
        let request = Request::new(head.method, head.uri, head.headers, body);
        (self.handler)(request.on_connection(connection)).await
    }
}

/// There is no memory for a response, so its connection closes without it. The request may have had its effect, so a refusal would be wrong.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("no memory for the response")]
struct ResponseDropped;

/// Asks the client to open a new connection for its next request, from [`ShutdownPhase::Draining`] on.
fn ask_to_reconnect(response: &mut Response, phase: ShutdownPhase) {
    if phase >= ShutdownPhase::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}

fn refused_body_response(cause: &BodyError) -> Response {
    match cause {
        BodyError::TooLong => {
            plain_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n")
        }
        BodyError::Broken(_) => plain_response(StatusCode::BAD_REQUEST, "the body broke off\n"),
        BodyError::NoMemory => no_memory_response(),
    }
}

/// Returns the response to a request that was not handled because the budget has no room for it.
fn no_memory_response() -> Response {
    let mut response = plain_response(
        StatusCode::SERVICE_UNAVAILABLE,
        "too much memory is in use for clients\n",
    );
    let seconds = HeaderValue::from(RETRY_AFTER_SECONDS);
    response.headers_mut().insert(RETRY_AFTER, seconds);
    response
}
