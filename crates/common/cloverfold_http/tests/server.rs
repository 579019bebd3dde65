//! Request limits, graceful shutdown, cancelled handlers, and connection reuse of the client.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cloverfold_faults::TcpProxy;
use cloverfold_http::{
    ConnectionBudget, HttpCallError, HttpClient, HttpLimits, Request, ServerHandle, ShutdownPhase,
    plain_response, serve,
};
use http::{Method, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const LONG_TIMEOUT: Duration = Duration::from_secs(20);

fn limits() -> HttpLimits {
    HttpLimits {
        body_bytes: 64,
        body_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(300),
        ..HttpLimits::default()
    }
}

/// Counts of handler calls that have started and that were dropped.
#[derive(Clone, Default)]
struct HandlerCounts {
    started: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
}

impl HandlerCounts {
    async fn wait_started(&self) {
        wait_for(&self.started, 1).await;
    }

    async fn wait_dropped(&self) {
        wait_for(&self.dropped, 1).await;
    }
}

async fn wait_for(count: &AtomicUsize, min: usize) {
    while count.load(Ordering::SeqCst) < min {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Starts a server that responds with the host once the gate has a permit, and counts handlers that are dropped before.
fn start(gate: Arc<Semaphore>, counts: HandlerCounts) -> ServerHandle {
    struct CountDrop(Option<Arc<AtomicUsize>>);
    impl Drop for CountDrop {
        fn drop(&mut self) {
            if let Some(count) = &self.0 {
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
    let listener = cloverfold_link::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let handler = move |request: Request| {
        let gate = gate.clone();
        let counts = counts.clone();
        async move {
            counts.started.fetch_add(1, Ordering::SeqCst);
            let mut guard = CountDrop(Some(counts.dropped));
            let _permit = gate.acquire().await.unwrap();
            guard.0 = None;
            plain_response(StatusCode::OK, request.host())
        }
    };
    serve(listener, limits, ConnectionBudget::unlimited(), handler).unwrap()
}

fn open_gate() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(100))
}

async fn post(
    client: &HttpClient,
    address: SocketAddr,
    body: &str,
) -> Result<(StatusCode, http::HeaderMap, Bytes), HttpCallError> {
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/path")
        .header("Host", "shop.example:80")
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    client.call(address, request, LONG_TIMEOUT).await
}

#[tokio::test]
async fn a_request_is_answered_with_the_host_without_its_port() {
    let server = start(open_gate(), HandlerCounts::default());

    let (status, _, body) = post(&HttpClient::default(), server.address(), "x")
        .await
        .unwrap();

    assert_eq!((status, &body[..]), (StatusCode::OK, &b"shop.example"[..]));
}

#[tokio::test]
async fn a_body_that_is_too_long_or_too_slow_is_refused() {
    let server = start(open_gate(), HandlerCounts::default());
    let long = "x".repeat(65);
    let (status, ..) = post(&HttpClient::default(), server.address(), &long)
        .await
        .unwrap();
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    let mut slow = TcpStream::connect(server.address()).await.unwrap();
    slow.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
        .await
        .unwrap();
    let mut answer = [0; 64];

    let len = slow.read(&mut answer).await.unwrap();

    assert!(answer[..len].starts_with(b"HTTP/1.1 408 "));
}

#[tokio::test]
async fn a_connection_without_a_request_is_closed() {
    let server = start(open_gate(), HandlerCounts::default());
    let mut idle = TcpStream::connect(server.address()).await.unwrap();
    idle.write_all(b"POST / HT").await.unwrap();
    let mut rest = Vec::new();

    let closed = tokio::time::timeout(LONG_TIMEOUT, idle.read_to_end(&mut rest)).await;

    assert!(closed.is_ok());
}

#[tokio::test]
async fn a_handler_is_dropped_when_its_client_disconnects() {
    let counts = HandlerCounts::default();
    let server = start(Arc::new(Semaphore::new(0)), counts.clone());
    let mut client = TcpStream::connect(server.address()).await.unwrap();
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    counts.wait_started().await;

    drop(client);

    counts.wait_dropped().await;
}

#[tokio::test]
async fn a_graceful_shutdown_asks_clients_to_reconnect_and_finishes_requests_in_flight() {
    let gate = Arc::new(Semaphore::new(0));
    let counts = HandlerCounts::default();
    let server = start(gate.clone(), counts.clone());
    let address = server.address();
    server.advance(ShutdownPhase::Draining);
    let in_flight = tokio::spawn(async move { post(&HttpClient::default(), address, "x").await });
    counts.wait_started().await;

    server.advance(ShutdownPhase::Closing);
    gate.add_permits(10);

    let (status, headers, _) = in_flight.await.unwrap().unwrap();
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers.get("connection").unwrap(), "close");
    tokio::time::timeout(LONG_TIMEOUT, server.wait_closed())
        .await
        .unwrap();
    let refused = post(&HttpClient::default(), address, "x").await;
    assert!(matches!(refused, Err(HttpCallError::NotSent(_))));
}

#[tokio::test]
async fn a_call_without_a_response_times_out_as_unanswered() {
    let server = start(Arc::new(Semaphore::new(0)), HandlerCounts::default());
    let request = http::Request::builder()
        .uri("/")
        .header("Host", "a")
        .body(Full::default())
        .unwrap();

    let answer = HttpClient::default()
        .call(server.address(), request, Duration::from_millis(50))
        .await;

    assert!(matches!(answer, Err(HttpCallError::Unanswered(_))));
}

/// Opens `count` idle connections from a client to an address, with concurrent calls.
async fn open_idle_connections(
    client: &Arc<HttpClient>,
    address: SocketAddr,
    count: usize,
    answer_all: impl Future,
) {
    let mut calls = JoinSet::new();
    for _ in 0..count {
        let client = client.clone();
        calls.spawn(async move { post(&client, address, "x").await.unwrap() });
    }
    answer_all.await;
    calls.join_all().await;
}

/// Sends a request without a body, with a timeout of 50 ms.
async fn call_with_short_timeout(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<(StatusCode, http::HeaderMap, Bytes), HttpCallError> {
    call_with_timeout(client, address, Duration::from_millis(50)).await
}

/// Sends a request without a body, with a long timeout.
async fn get(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<(StatusCode, http::HeaderMap, Bytes), HttpCallError> {
    call_with_timeout(client, address, LONG_TIMEOUT).await
}

async fn call_with_timeout(
    client: &HttpClient,
    address: SocketAddr,
    limit: Duration,
) -> Result<(StatusCode, http::HeaderMap, Bytes), HttpCallError> {
    let request = http::Request::builder()
        .uri("/")
        .header("Host", "a")
        .body(Full::default())
        .unwrap();
    client.call(address, request, limit).await
}

/// Returns a server behind a proxy, and a client with six idle connections to the proxy.
async fn six_idle_connections() -> (ServerHandle, TcpProxy, Arc<HttpClient>) {
    let gate = Arc::new(Semaphore::new(0));
    let counts = HandlerCounts::default();
    let server = start(gate.clone(), counts.clone());
    let proxy = TcpProxy::start(server.address()).await.unwrap();
    let client = Arc::new(HttpClient::default());
    let answer_all = async {
        wait_for(&counts.started, 6).await;
        gate.add_permits(100);
    };
    open_idle_connections(&client, proxy.address(), 6, answer_all).await;
    (server, proxy, client)
}

#[tokio::test]
async fn half_open_connections_cost_two_timeouts() {
    let (_server, proxy, client) = six_idle_connections().await;

    proxy.blackhole_connections();
    let first = call_with_short_timeout(&client, proxy.address()).await;
    let second = call_with_short_timeout(&client, proxy.address()).await;
    let next = tokio::time::timeout(LONG_TIMEOUT, post(&client, proxy.address(), "x")).await;

    assert!(matches!(first, Err(HttpCallError::Unanswered(_))));
    assert!(matches!(second, Err(HttpCallError::Unanswered(_))));
    let (status, ..) = next.expect("a new connection is opened").unwrap();
    assert_eq!(status, StatusCode::OK);
}

/// Starts a server that answers each request without a body for one permit of the gate, and counts accepted connections.
async fn start_gated_server(gate: Arc<Semaphore>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve_gated(stream, gate.clone()));
        }
    });
    (address, accepted)
}

async fn serve_gated(mut stream: TcpStream, gate: Arc<Semaphore>) {
    let mut request = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut request).await {
        if !request.ends_with(b"\r\n\r\n") {
            continue;
        }
        request.clear();
        gate.acquire().await.unwrap().forget();
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
        if stream.write_all(answer).await.is_err() {
            return;
        }
    }
}

#[tokio::test]
async fn a_late_response_does_not_cost_a_connection() {
    let gate = Arc::new(Semaphore::new(0));
    let (address, accepted) = start_gated_server(gate.clone()).await;
    let client = HttpClient::default();

    for _ in 0..5 {
        let late = call_with_short_timeout(&client, address).await;
        assert!(matches!(late, Err(HttpCallError::Unanswered(_))));
        // One permit for the late response, one for the next call.
        gate.add_permits(2);
        let (status, ..) = get(&client, address).await.unwrap();
        assert_eq!(status, StatusCode::OK);
    }

    let accepted = accepted.load(Ordering::SeqCst);
    assert!(accepted <= 3, "{accepted} connections");
}

#[tokio::test]
async fn a_client_that_stops_reading_a_response_is_disconnected() {
    let listener = cloverfold_link::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let long_answer = |_| async { plain_response(StatusCode::OK, "x".repeat(32 * 1024 * 1024)) };
    let server = serve(listener, limits, ConnectionBudget::unlimited(), long_answer).unwrap();
    let mut client = TcpStream::connect(server.address()).await.unwrap();
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    client.read_u8().await.unwrap();

    server.advance(ShutdownPhase::Closing);

    tokio::time::timeout(LONG_TIMEOUT, server.wait_closed())
        .await
        .expect("the connection is closed, although the client still holds it");
    drop(client);
}

/// Sends a request on an open connection and returns the status code of the response.
async fn post_on(stream: &mut TcpStream, body: &str) -> String {
    let length = body.len();
    let request =
        format!("POST / HTTP/1.1\r\nhost: shop.example\r\ncontent-length: {length}\r\n\r\n{body}");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = [0; 1024];
    let length = stream.read(&mut response).await.unwrap();
    let response = String::from_utf8_lossy(&response[..length]);
    response.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// Guards against connections that keep the limit on bodies which was in force when they were opened.
#[tokio::test]
async fn a_changed_body_limit_applies_to_open_connections() {
    let body_bytes = Arc::new(AtomicUsize::new(8));
    let current = body_bytes.clone();
    let limits = move || HttpLimits {
        body_bytes: current.load(Ordering::SeqCst),
        ..HttpLimits::default()
    };
    let listener = cloverfold_link::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let handler = |_: Request| async { plain_response(StatusCode::OK, "") };
    let server = serve(listener, limits, ConnectionBudget::unlimited(), handler).unwrap();
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    assert_eq!(post_on(&mut stream, "short").await, "200");

    body_bytes.store(64, Ordering::SeqCst);
    assert_eq!(post_on(&mut stream, "longer than before").await, "200");
    body_bytes.store(8, Ordering::SeqCst);

    assert_eq!(post_on(&mut stream, "longer than before").await, "413");
}
