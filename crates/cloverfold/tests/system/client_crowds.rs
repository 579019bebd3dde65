//! Crowds of callers that stop before the end of their bodies.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::cluster::{Cluster, ClusterConfig, TestJob, wait_until};

const MIB: usize = 1024 * 1024;
/// Longest body of a submission, the default of `max_body`.
const MAX_BODY: usize = 4 * MIB;
/// Memory of the box of an entry, in MiB.
const ENTRY_MEMORY_MB: u64 = 160;
/// Longer than the crowd stands.
const READ_TIMEOUT_MS: u64 = 120_000;
/// Timeout of a write of the crowd; an entry that refuses a body may stop reading it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval in which the peak must not rise for the entry to have read what the crowd has sent.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);

/// Opens connections that send a valid head and this start of a body, and stay open.
async fn send_crowd(
    cluster: &Cluster,
    count: usize,
    framing: &str,
    body: Vec<u8>,
) -> Vec<TcpStream> {
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nCloverfold-Customer: {}\r\nAuthorization: Bearer {}\r\n{framing}\r\n\r\n",
        cluster.caller.workspace, cluster.caller.key
    );
    let request = bytes::Bytes::from([head.into_bytes(), body].concat());
    let mut writes = tokio::task::JoinSet::new();
    for _ in 0..count {
        let (address, request) = (cluster.entry_http_addresses[0], request.clone());
        writes.spawn(async move {
            let mut stream = TcpStream::connect(address).await.unwrap();
            // A refused body is one of the allowed outcomes.
            let _ = timeout(WRITE_TIMEOUT, stream.write_all(&request)).await;
            stream
        });
    }
    writes.join_all().await
}

/// Checks that the entry stays within its memory and serves jobs, while the crowd stands and after it has left.
async fn check_crowd(cluster: &Cluster, crowd: Vec<TcpStream>) {
    let mut peak = 0;
    wait_until("the entry has read all", async || {
        sleep(SETTLING_TIME).await;
        let before = std::mem::replace(&mut peak, cluster.entry_peak_memory_mb(0));
        peak == before
    })
    .await;
    assert!(peak <= ENTRY_MEMORY_MB, "peak of {peak} MiB");
    serve(cluster, "during").await;
    drop(crowd);
    serve(cluster, "after").await;
    let peak = cluster.entry_peak_memory_mb(0);
    assert!(peak <= ENTRY_MEMORY_MB, "peak of {peak} MiB");
}

/// Submits a job, again after a refusal as callers do, until it is complete.
async fn serve(cluster: &Cluster, name: &str) {
    let job = TestJob::new(name, 1, 10);
    wait_until("an ordinary job", async || {
        let answer = cluster.submit(0, &job).await;
        answer.is_ok_and(|answer| answer.outcome == "complete")
    })
    .await;
}

fn patient_entry() -> ClusterConfig {
    ClusterConfig {
        entry: json!({ "read_timeout_ms": READ_TIMEOUT_MS }),
        ..ClusterConfig::default()
    }
}

/// Fails if an entry holds all bodies that stop before their last byte.
#[tokio::test(flavor = "multi_thread")]
async fn claims_entry_with_bodies_that_stop_before_their_end() {
    let cluster = Cluster::start(patient_entry()).await;

    let framing = format!("Content-Length: {MAX_BODY}");
    let crowd = send_crowd(&cluster, 60, &framing, vec![b' '; MAX_BODY - 1]).await;

    check_crowd(&cluster, crowd).await;
}

/// Fails if a chunk costs an entry far more than its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn claims_entry_with_one_byte_chunks_without_a_last_one() {
    let cluster = Cluster::start(patient_entry()).await;

    let chunks = b"1\r\n \r\n".repeat(500_000);
    let crowd = send_crowd(&cluster, 30, "Transfer-Encoding: chunked", chunks).await;

    check_crowd(&cluster, crowd).await;
}
