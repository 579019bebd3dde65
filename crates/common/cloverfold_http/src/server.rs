//! The HTTP/1.1 server of the leased processes.
//!
//! Reads whole requests within limits, hands each to one handler and sends its answer. Owns the connections that it has accepted and the
//! phase of its planned stop. Relies on `hyper` for HTTP/1.1 and on the runtime that it is started in.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_link::tune_socket;
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

/// Smallest buffer that `hyper` accepts, in bytes; a smaller one panics there.
const MIN_HEADER_BUFFER: usize = 8 * 1024;
/// Default longest header, in bytes. Chosen, not measured.
const HEADER_BYTES: usize = 16 * 1024;
/// Default longest body, in bytes. Chosen, not measured.
const BODY_BYTES: usize = 1024 * 1024;
/// Default time for a body to arrive. Chosen, not measured.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Default time that a connection may stay without a request. Chosen, not measured.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a failed accept, so that a lack of file descriptors does not spin the thread. Chosen, not measured.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a connection may use; read once when it is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest header, in bytes; at least 8 KiB are allowed in any case.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// How long a body may take to arrive.
    pub body_timeout: Duration,
    /// How long a connection may stay without a whole request header.
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

/// How far a planned stop of a server has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// It serves.
    #[default]
    Serving,
    /// It serves, and answers with `Connection: close` so that clients reconnect elsewhere.
    Draining,
    /// It accepts no connection, finishes requests in flight and closes idle connections.
    Closing,
}

/// A request whose body has been read in full.
#[derive(Debug)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// The target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// Returns the requested host without its port; empty if the request names none.
    pub fn host(&self) -> &str {
        let header = self.headers.get(http::header::HOST);
        let host = header
            .and_then(|value| value.to_str().ok())
            .or(self.uri.host());
        // A request without a host is looked up, and logged, with an empty one.
        let host = host.unwrap_or_default();
        host.rsplit_once(':').map_or(host, |(name, _)| name)
    }
}

/// The answer to a request.
pub type Response = http::Response<Full<Bytes>>;

/// Builds an answer with a JSON body.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Builds an answer with a line of text.
pub fn plain_response(status: StatusCode, text: impl Into<String>) -> Response {
    let mut response = Response::new(Full::new(Bytes::from(text.into())));
    *response.status_mut() = status;
    response
}

/// Handle of a running server; dropping it stops the server as [`ShutdownPhase::Closing`] does.
#[derive(Debug)]
pub struct ServerHandle {
    phase: watch::Sender<ShutdownPhase>,
    address: SocketAddr,
}

impl ServerHandle {
    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Advances the planned stop to a later phase; an earlier one changes nothing.
    pub fn advance(&self, phase: ShutdownPhase) {
        self.phase.send_if_modified(|held| {
            let is_later = phase > *held;
            *held = (*held).max(phase);
            is_later
        });
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        self.phase.closed().await;
    }
}

/// Serves requests on a listener; `limits` is called once for each connection.
///
/// The future of a handler is dropped when its client disconnects before the answer. Must be called within a runtime.
///
/// # Errors
///
/// Returns the system's error if the listener has no local address.
pub fn serve<L, H, F>(listener: TcpListener, limits: L, handler: H) -> std::io::Result<ServerHandle>
where
    L: Fn() -> HttpLimits + Send + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let address = listener.local_addr()?;
    let (phase, follow) = watch::channel(ShutdownPhase::Serving);
    tokio::spawn(accept_connections(
        listener,
        limits,
        Arc::new(handler),
        follow,
    ));
    Ok(ServerHandle { phase, address })
}

/// Accepts connections until the server closes, each served by a task of its own.
async fn accept_connections<L, H, F>(
    listener: TcpListener,
    limits: L,
    handler: Arc<H>,
    phase: watch::Receiver<ShutdownPhase>,
) where
    L: Fn() -> HttpLimits,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let mut closing = phase.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_closing(&mut closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, limits(), handler.clone(), phase.clone());
                tokio::spawn(connection);
            }
            Err(cause) => {
                log::warn!("a connection cannot be accepted: {cause}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the server closes or its handle is gone.
async fn wait_closing(phase: &mut watch::Receiver<ShutdownPhase>) {
    // The only error is that the handle was dropped, which closes the server too.
    let _ = phase
        .wait_for(|phase| *phase == ShutdownPhase::Closing)
        .await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    handler: Arc<H>,
    mut phase: watch::Receiver<ShutdownPhase>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Without the bound a client that goes silent while it is answered would hold its connection, and a descriptor, for good.
    tune_socket(&stream, limits.idle_timeout);
    let follow = phase.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let handler = handler.clone();
        let follow = follow.clone();
        async move {
            let mut response = answer(request, &limits, handler.as_ref()).await;
            ask_to_reconnect(&mut response, *follow.borrow());
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = wait_closing(&mut phase) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = ended {
        // Clients disconnect at any time, so this is not worth a warning.
        log::debug!("a connection ended: {cause}");
    }
}

/// Tells the client to open a new connection for its next request, from [`ShutdownPhase::Draining`] on.
fn ask_to_reconnect(response: &mut Response, phase: ShutdownPhase) {
    if phase >= ShutdownPhase::Draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}

/// Reads the body within the limits and runs the handler; a body that breaks a limit is refused without the handler.
async fn answer<H, F>(
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
