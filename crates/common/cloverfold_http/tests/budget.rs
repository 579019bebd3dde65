//! The memory that a server holds for all its clients together.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cloverfold_http::{
    BudgetLimits, ConnectionBudget, HttpLimits, Request, ServerHandle, plain_response, serve,
};
use http::StatusCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const KIB: usize = 1_024;
/// Memory of a connection with a small message.
const CONNECTION_BYTES: usize = 16 * KIB;
const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than a connection may stand still when room is needed.
const STALL: Duration = Duration::from_millis(400);
const LONG_RESPONSE: usize = 8 * 1024 * KIB;

struct TestServer {
    server: ServerHandle,
    budget: ConnectionBudget,
    handled: Arc<AtomicUsize>,
}

/// Starts a server that responds with the length of the body, or with [`LONG_RESPONSE`] bytes to `GET`.
fn start(bytes: usize) -> TestServer {
    let limits = BudgetLimits {
        connections: 1_000,
        bytes,
    };
    let budget = ConnectionBudget::new("test", limits);
    let handled = Arc::new(AtomicUsize::new(0));
    let handler = {
        let handled = handled.clone();
        move |request: Request| {
            handled.fetch_add(1, Ordering::SeqCst);
            let text = if request.method == http::Method::GET {
                "x".repeat(LONG_RESPONSE)
            } else {
                request.body.len().to_string()
            };
            async move { plain_response(StatusCode::OK, text) }
        }
    };
    let listener = cloverfold_link::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let server = serve(listener, HttpLimits::default, budget.clone(), handler).unwrap();
    TestServer {
        server,
        budget,
        handled,
    }
}

async fn send(address: SocketAddr, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may close the connection at any time.
    let _ = stream.write_all(request).await;
    stream
}

fn post(len: usize, sent: usize) -> Vec<u8> {
    let mut request =
        format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {len}\r\n\r\n").into_bytes();
    request.resize(request.len() + sent, b'x');
    request
}

/// Sends a complete request and returns the start of the response.
async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = send(address, request).await;
    let mut answer = vec![0; 256];
    let len = timeout(LONG_TIMEOUT, stream.read(&mut answer))
        .await
        .unwrap()
        .unwrap();
    String::from_utf8_lossy(&answer[..len]).into_owned()
}

async fn wait_for_usage(
    budget: &ConnectionBudget,
    mut is_reached: impl FnMut(usize, usize) -> bool,
) {
    let reached = async {
        loop {
            let usage = budget.usage();
            if is_reached(usage.connections, usage.held_bytes) {
                return;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LONG_TIMEOUT, reached).await.unwrap();
}

/// Fails if clients that stop before the end of a body keep others from being served.
#[tokio::test]
async fn unfinished_bodies_give_way_to_an_ordinary_request() {
    let test = start(512 * KIB);
    let address = test.server.address();
    let mut crowd = Vec::new();
    for _ in 0..30 {
        crowd.push(send(address, &post(64 * KIB, 32 * KIB)).await);
    }
    sleep(STALL).await;

    let answer = exchange(address, &post(5, 5)).await;

    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let usage = test.budget.usage();
    assert!(usage.held_bytes <= 512 * KIB, "{usage:?}");
    assert_eq!(test.handled.load(Ordering::SeqCst), 1);
}

/// Fails if a chunk costs more than its bytes.
#[tokio::test]
async fn a_body_of_small_chunks_takes_memory_for_its_length() {
    let test = start(1_024 * KIB);
    let mut request = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    request.extend_from_slice(&b"1\r\nx\r\n".repeat(40_000));

    let mut stream = send(test.server.address(), &request).await;
    let buffers = CONNECTION_BYTES + 32 * KIB;
    wait_for_usage(&test.budget, |_, held| held == buffers + 64 * KIB).await;
    stream.write_all(b"0\r\n\r\n").await.unwrap();

    let mut answer = vec![0; 256];
    let len = stream.read(&mut answer).await.unwrap();
    assert!(String::from_utf8_lossy(&answer[..len]).ends_with("40000"));
}

/// Fails if trailers are held without being counted.
#[tokio::test]
async fn trailers_without_an_end_are_counted() {
    let test = start(1_024 * KIB);
    let mut request =
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na: ".to_vec();
    request.resize(request.len() + 15 * KIB, b'x');

    let _stream = send(test.server.address(), &request).await;

    wait_for_usage(&test.budget, |_, held| held >= CONNECTION_BYTES + 16 * KIB).await;
}

/// Fails if a request without room reaches the handler, or its client is not told to come back.
#[tokio::test]
async fn a_body_without_room_is_refused_before_it_is_handled() {
    let test = start(64 * KIB);

    let answer = exchange(test.server.address(), &post(512 * KIB, 512 * KIB)).await;

    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains("retry-after: 1"), "{answer}");
    assert_eq!(test.handled.load(Ordering::SeqCst), 0);
}

/// Fails if a response that its client does not read is not counted, or is kept while others need the room.
#[tokio::test]
async fn an_unread_response_is_held_and_gives_way() {
    let test = start(LONG_RESPONSE + 256 * KIB);
    let address = test.server.address();
    let unread = send(address, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").await;
    wait_for_usage(&test.budget, |_, held| held > LONG_RESPONSE).await;
    sleep(STALL).await;

    let answer = exchange(address, &post(400 * KIB, 400 * KIB)).await;

    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert_eq!(test.budget.usage().closed, 1);
    drop(unread);
}

/// Fails if anything taken for a client is not given back.
#[tokio::test]
async fn everything_is_given_back() {
    let test = start(2 * LONG_RESPONSE);
    let address = test.server.address();
    let mut headers = String::from("POST / HTTP/1.1\r\nHost: a\r\n");
    for number in 0..90 {
        headers.push_str(&format!("h{number}: x\r\n"));
    }
    headers.push_str("Content-Length: 9\r\n\r\nhalf");
    let requests = [
        post(64 * KIB, 64 * KIB),
        post(64 * KIB, 20 * KIB),
        headers.into_bytes(),
        b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
        format!("POST / HTTP/1.1\r\na: {}", "x".repeat(6 * KIB)).into_bytes(),
    ];

    for request in &requests {
        let stream = send(address, request).await;
        wait_for_usage(&test.budget, |connections, _| connections == 1).await;
        sleep(Duration::from_millis(20)).await;
        drop(stream);
        wait_for_usage(&test.budget, |connections, held| {
            (connections, held) == (0, 0)
        })
        .await;
    }
}

/// Fails if a single client at the limits of a request is refused while nobody else is there.
#[tokio::test]
async fn a_single_request_at_the_limits_is_served() {
    let test = start(8 * 1_024 * KIB);
    let address = test.server.address();
    let max_len = HttpLimits::default().body_bytes;
    let chunked = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    let small_chunks = [&chunked[..], &b"1\r\nx\r\n".repeat(max_len), b"0\r\n\r\n"].concat();

    for request in [post(max_len, max_len), small_chunks] {
        let answer = exchange(address, &request).await;
        assert!(answer.ends_with(&max_len.to_string()), "{answer}");
    }

    let mut slow = send(address, &post(6, 1)).await;
    for _ in 1..6 {
        sleep(STALL).await;
        slow.write_all(b"x").await.unwrap();
    }
    let mut answer = vec![0; 256];
    let len = slow.read(&mut answer).await.unwrap();
    assert!(String::from_utf8_lossy(&answer[..len]).ends_with('6'));
    assert_eq!(test.budget.usage().closed, 0);
}
