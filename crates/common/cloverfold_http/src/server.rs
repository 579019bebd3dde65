//! The server.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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

/// Smallest buffer that the library accepts, in bytes.
const MIN_HEADER_BUFFER: usize = 8 * 1024;

/// What a connection may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest header, in bytes.
    pub header_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// How long a body may take to arrive.
    pub body_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            body_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// How far a planned stop of a server has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// It serves.
    #[default]
    Serving,
    /// It serves, and asks each client to come elsewhere with its next request.
    Turning,
    /// It ends what is in flight and closes connections that are idle.
    Closing,
}

/// A whole request.
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
    /// Returns the host that is asked, without its port.
    pub fn host(&self) -> &str {
        let header = self.headers.get(http::header::HOST);
        let host = header
            .and_then(|value| value.to_str().ok())
            .or(self.uri.host());
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

/// A server that runs.
#[derive(Debug)]
pub struct Serving {
    phase: watch::Sender<StopPhase>,
    address: SocketAddr,
}

impl Serving {
    /// Returns the address that is listened on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Goes on to a later phase of the stop.
    pub fn advance(&self, phase: StopPhase) {
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

/// Serves requests on a listener; `limits` is asked once for each connection.
///
/// The future of a handler is dropped when its client leaves before the answer.
///
/// # Errors
///
/// Says that the listener has no address.
pub fn serve<L, H, F>(listener: TcpListener, limits: L, handler: H) -> std::io::Result<Serving>
where
    L: Fn() -> HttpLimits + Send + 'static,
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let address = listener.local_addr()?;
    let (phase, follow) = watch::channel(StopPhase::Serving);
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        let mut closing = follow.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|phase| *phase == StopPhase::Closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection =
                        serve_connection(stream, limits(), handler.clone(), follow.clone());
                    tokio::spawn(connection);
                }
                Err(cause) => {
                    log::warn!("a connection cannot be accepted: {cause}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(Serving { phase, address })
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: HttpLimits,
    handler: Arc<H>,
    mut phase: watch::Receiver<StopPhase>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    // Without the option answers may wait for acknowledgements; all else is in order.
    let _ = stream.set_nodelay(true);
    let follow = phase.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        let handler = handler.clone();
        let follow = follow.clone();
        async move {
            let mut response = answer(request, &limits, handler.as_ref()).await;
            if *follow.borrow() >= StopPhase::Turning {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let closing = async move {
        // The server is over when the sender is gone.
        let _ = phase.wait_for(|phase| *phase == StopPhase::Closing).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = closing => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = ended {
        log::debug!("a connection ended: {cause}");
    }
}

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
