//! Limits, the planned stop, and handlers whose client leaves.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use cloverfold_faults::TcpProxy;
use cloverfold_http::{
    HttpCallError, HttpClient, HttpLimits, Request, ServerHandle, ShutdownPhase, plain_response,
    serve,
};
use http::{Method, StatusCode};
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

const PATIENCE: Duration = Duration::from_secs(20);

fn limits() -> HttpLimits {
    HttpLimits {
        body_bytes: 64,
        body_timeout: Duration::from_millis(200),
        idle_timeout: Duration::from_millis(300),
        ..HttpLimits::default()
    }
}

/// What the handlers of a server have come to.
#[derive(Clone, Default)]
struct Seen {
    begun: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
}

impl Seen {
    async fn wait_begun(&self) {
        wait_for(&self.begun, 1).await;
    }

    async fn wait_dropped(&self) {
        wait_for(&self.dropped, 1).await;
    }
}

async fn wait_for(count: &AtomicUsize, least: usize) {
    while count.load(Ordering::SeqCst) < least {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Answers with the host once the gate is open, and counts handlers that were dropped before.
fn start(gate: Arc<Semaphore>, seen: Seen) -> ServerHandle {
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
        let seen = seen.clone();
        async move {
            seen.begun.fetch_add(1, Ordering::SeqCst);
            let mut guard = CountDrop(Some(seen.dropped));
            let _permit = gate.acquire().await.unwrap();
            guard.0 = None;
            plain_response(StatusCode::OK, request.host())
        }
    };
    serve(listener, limits, handler).unwrap()
}

fn open() -> Arc<Semaphore> {
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
    client.call(address, request, PATIENCE).await
}

#[tokio::test]
async fn a_request_is_answered_with_the_host_without_its_port() {
    let serving = start(open(), Seen::default());

    let (status, _, body) = post(&HttpClient::default(), serving.address(), "x")
        .await
        .unwrap();

    assert_eq!((status, &body[..]), (StatusCode::OK, &b"shop.example"[..]));
}

#[tokio::test]
async fn a_body_that_is_too_long_or_too_slow_is_refused() {
    let serving = start(open(), Seen::default());
    let long = "x".repeat(65);
    let (status, ..) = post(&HttpClient::default(), serving.address(), &long)
        .await
        .unwrap();
    assert_eq!(status, StatusCode::PAYLOAD_TOO_LARGE);
    let mut slow = TcpStream::connect(serving.address()).await.unwrap();
    slow.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
        .await
        .unwrap();
    let mut answer = [0; 64];

    let len = slow.read(&mut answer).await.unwrap();

    assert!(answer[..len].starts_with(b"HTTP/1.1 408 "));
}

#[tokio::test]
async fn a_connection_without_a_request_is_closed() {
    let serving = start(open(), Seen::default());
    let mut idle = TcpStream::connect(serving.address()).await.unwrap();
    idle.write_all(b"POST / HT").await.unwrap();
    let mut rest = Vec::new();

    let closed = tokio::time::timeout(PATIENCE, idle.read_to_end(&mut rest)).await;

    assert!(closed.is_ok());
}

#[tokio::test]
async fn a_handler_is_dropped_when_its_client_leaves() {
    let seen = Seen::default();
    let serving = start(Arc::new(Semaphore::new(0)), seen.clone());
    let mut client = TcpStream::connect(serving.address()).await.unwrap();
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    seen.wait_begun().await;

    drop(client);

    seen.wait_dropped().await;
}

#[tokio::test]
async fn a_planned_stop_turns_clients_away_then_ends_what_is_in_flight() {
    let gate = Arc::new(Semaphore::new(0));
    let seen = Seen::default();
    let serving = start(gate.clone(), seen.clone());
    let address = serving.address();
    serving.advance(ShutdownPhase::Draining);
    let in_flight = tokio::spawn(async move { post(&HttpClient::default(), address, "x").await });
    seen.wait_begun().await;

    serving.advance(ShutdownPhase::Closing);
    gate.add_permits(10);

    let (status, headers, _) = in_flight.await.unwrap().unwrap();
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers.get("connection").unwrap(), "close");
    tokio::time::timeout(PATIENCE, serving.wait_closed())
        .await
        .unwrap();
    let refused = post(&HttpClient::default(), address, "x").await;
    assert!(matches!(refused, Err(HttpCallError::NotSent(_))));
}

#[tokio::test]
async fn a_call_without_an_answer_is_given_up_and_may_have_arrived() {
    let serving = start(Arc::new(Semaphore::new(0)), Seen::default());
    let request = http::Request::builder()
        .uri("/")
        .header("Host", "a")
        .body(Full::default())
        .unwrap();

    let answer = HttpClient::default()
        .call(serving.address(), request, Duration::from_millis(50))
        .await;

    assert!(matches!(answer, Err(HttpCallError::Unanswered(_))));
}

/// Leaves so many idle connections to an address behind at a client, by calls that are answered at the same time.
async fn open_idle(
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

/// Gives a call without a body 50 ms.
async fn call_briefly(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<(StatusCode, http::HeaderMap, Bytes), HttpCallError> {
    call_within(client, address, Duration::from_millis(50)).await
}

/// Gives a call without a body all the time that it needs.
async fn get(
    client: &HttpClient,
    address: SocketAddr,
) -> Result<(StatusCode, http::HeaderMap, Bytes), HttpCallError> {
    call_within(client, address, PATIENCE).await
}

async fn call_within(
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

/// A server behind a proxy, and a client with six idle connections to it.
async fn six_idle_connections() -> (ServerHandle, TcpProxy, Arc<HttpClient>) {
    let gate = Arc::new(Semaphore::new(0));
    let seen = Seen::default();
    let serving = start(gate.clone(), seen.clone());
    let proxy = TcpProxy::start(serving.address()).await.unwrap();
    let client = Arc::new(HttpClient::default());
    let answer_all = async {
        wait_for(&seen.begun, 6).await;
        gate.add_permits(100);
    };
    open_idle(&client, proxy.address(), 6, answer_all).await;
    (serving, proxy, client)
}

#[tokio::test]
async fn silent_connections_cost_two_calls_that_are_given_up() {
    let (_serving, proxy, client) = six_idle_connections().await;

    proxy.blackhole_connections();
    let first = call_briefly(&client, proxy.address()).await;
    let second = call_briefly(&client, proxy.address()).await;
    let next = tokio::time::timeout(PATIENCE, post(&client, proxy.address(), "x")).await;

    assert!(matches!(first, Err(HttpCallError::Unanswered(_))));
    assert!(matches!(second, Err(HttpCallError::Unanswered(_))));
    let (status, ..) = next.expect("a new connection is opened").unwrap();
    assert_eq!(status, StatusCode::OK);
}

/// Answers requests without a body, each with a permit of the gate, and counts the connections that it has accepted.
async fn count_connections(gate: Arc<Semaphore>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(answer_one_by_one(stream, gate.clone()));
        }
    });
    (address, accepted)
}

async fn answer_one_by_one(mut stream: TcpStream, gate: Arc<Semaphore>) {
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
async fn an_answer_that_comes_late_costs_no_connection() {
    let gate = Arc::new(Semaphore::new(0));
    let (address, accepted) = count_connections(gate.clone()).await;
    let client = HttpClient::default();

    for _ in 0..5 {
        let late = call_briefly(&client, address).await;
        assert!(matches!(late, Err(HttpCallError::Unanswered(_))));
        // One for the late answer, one for the call after it.
        gate.add_permits(2);
        let (status, ..) = get(&client, address).await.unwrap();
        assert_eq!(status, StatusCode::OK);
    }

    let accepted = accepted.load(Ordering::SeqCst);
    assert!(accepted <= 3, "{accepted} connections");
}

#[tokio::test]
async fn a_client_that_is_silent_while_it_is_answered_is_given_up() {
    let listener = cloverfold_link::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let long_answer = |_| async { plain_response(StatusCode::OK, "x".repeat(32 * 1024 * 1024)) };
    let serving = serve(listener, limits, long_answer).unwrap();
    let mut client = TcpStream::connect(serving.address()).await.unwrap();
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .await
        .unwrap();
    client.read_u8().await.unwrap();

    serving.advance(ShutdownPhase::Closing);

    tokio::time::timeout(PATIENCE, serving.wait_closed())
        .await
        .expect("the connection is closed, although the client still holds it");
    drop(client);
}
