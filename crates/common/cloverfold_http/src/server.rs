//! HTTP/1.1 server with request limits and graceful shutdown.
//!
//! The server reads each request in full before it calls the handler.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_link::set_socket_options;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

/// Minimum buffer size, in bytes; `hyper` panics below it.
const MIN_HEADER_BUFFER: usize = 8 * 1024;
/// Default of [`HttpLimits::header_bytes`].
const HEADER_BYTES: usize = 16 * 1024;
/// Default of [`HttpLimits::body_bytes`].
const BODY_BYTES: usize = 1024 * 1024;
/// Default of [`HttpLimits::body_timeout`].
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Default of [`HttpLimits::idle_timeout`].
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed accept, so that the server does not busy-loop while there are no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Limits of a server. Those on bodies are read for each request, the others once when a connection is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request header, in bytes; values below 8 KiB count as 8 KiB.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Timeout for receiving a complete request header.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_bytes: HEADER_BYTES,
            body_bytes: BODY_BYTES,
            body_timeout: BODY_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
        }
    }
}

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

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// Request method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Request headers.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

impl Request {
    /// Returns the requested host without its port; empty if the request has no host.
    pub fn host(&self) -> &str {
        let header = self.headers.get(http::header::HOST);
        let host = header
            .and_then(|value| value.to_str().ok())
            .or(self.uri.host());
        // A request without a host is routed and logged with an empty one.
        let host = host.unwrap_or_default();
        host.rsplit_once(':').map_or(host, |(name, _)| name)
    }
}

/// Response to a request.
pub type Response = http::Response<Full<Bytes>>;

/// Builds a response with a JSON body.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Builds a response with a plain text body.
pub fn plain_response(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
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

/// Serves requests on a listener; calls `limits` for each connection and for each request.
///
/// The server drops the future of a handler if its client disconnects before the response. Must be called within a runtime.
///
/// # Errors
///
/// Returns the system's error if the listener has no local address.
pub fn serve<L, H, F>(listener: TcpListener, limits: L, handler: H) -> std::io::Result<ServerHandle>
where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let address = listener.local_addr()?;
    let (phase, phase_rx) = watch::channel(ShutdownPhase::Serving);
    tokio::spawn(accept_connections(
        listener,
        Arc::new(limits),
        Arc::new(handler),
        phase_rx,
    ));
    Ok(ServerHandle { phase, address })
}

/// Accepts connections until the server closes, and serves each in its own task.
async fn accept_connections<L, H, F>(
    listener: TcpListener,
    limits: Arc<L>,
    handler: Arc<H>,
    phase: watch::Receiver<ShutdownPhase>,
) where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut closing = phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection =
                    serve_connection(stream, limits.clone(), handler.clone(), phase.clone());
                tokio::spawn(connection);
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

async fn serve_connection<L, H, F>(
    stream: TcpStream,
    limits: Arc<L>,
    handler: Arc<H>,
    mut phase: watch::Receiver<ShutdownPhase>,
) where
    L: Fn() -> HttpLimits + Send + Sync + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let connection_limits = limits();
    // Without this timeout, a client that disappears or stops reading a response would keep its connection and file descriptor open.
    set_socket_options(&stream, connection_limits.idle_timeout);
    let phase_rx = phase.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let handler = handler.clone();
        let limits = limits();
        let phase_rx = phase_rx.clone();
        async move { respond(request, &limits, handler.as_ref(), &phase_rx).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(connection_limits.idle_timeout)
        .max_buf_size(connection_limits.header_bytes.max(MIN_HEADER_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_until_closing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = ended {
        // Not a warning, because clients may disconnect at any time.
        log::debug!("connection failed: {cause}");
    }
}

/// Responds to a request of a connection.
async fn respond<H, F>(
    request: http::Request<Incoming>,
    limits: &HttpLimits,
    handler: &H,
    phase: &watch::Receiver<ShutdownPhase>,
) -> Result<Response, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let mut response = handle_request(request, limits, handler).await;
    ask_to_reconnect(&mut response, *phase.borrow());
    Ok(response)
}

/// Asks the client to open a new connection for its next request, from [`ShutdownPhase::Draining`] on.
fn ask_to_reconnect(response: &mut Response, phase: ShutdownPhase) {
    if phase >= ShutdownPhase::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}

/// Reads the body within the limits and runs the handler; refuses a body that exceeds a limit without running the handler.
async fn handle_request<H, F>(
    request: http::Request<Incoming>,
    limits: &HttpLimits,
    handler: &H,
) -> Response
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let (head, body) = request.into_parts();
    let reading = Limited::new(body, limits.body_bytes).collect();
    let body = match timeout(limits.body_timeout, reading).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => {
            return plain_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
        }
        Ok(Err(_)) => return plain_response(StatusCode::BAD_REQUEST, "the body broke off\n"),
        Err(_) => return plain_response(StatusCode::REQUEST_TIMEOUT, "the body came too slowly\n"),
    };
    handler(Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
    .await
}
