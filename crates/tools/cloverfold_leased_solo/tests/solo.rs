//! End-to-end tests of a leased installation in one process.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cloverfold_http::HttpClient;
use cloverfold_leased_solo::{LeasedSolo, SoloSize};
use http::{Method, StatusCode};
use http_body_util::Full;
use tokio::task::JoinSet;

/// Timeout of expected events; much longer than a passing test needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

async fn submit(solo: &LeasedSolo, entry: SocketAddr, id: &str, body: String) -> StatusCode {
    let request = http::Request::builder()
        .method(Method::POST)
        .uri(solo.queue().job_path(id))
        .header("Host", solo.queue().host())
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let answer = HttpClient::default()
        .call(entry, request, TEST_TIMEOUT)
        .await;
    answer.unwrap().0
}

#[tokio::test(flavor = "multi_thread")]
async fn every_entry_answers_a_job_and_runs_its_tasks_once() {
    let size = SoloSize {
        controls: 1,
        entries: 2,
        guards: 2,
    };
    let solo = LeasedSolo::start(size).await.unwrap();
    let job = solo.queue().job(3, 20, false);

    let mut statuses = Vec::new();
    for (number, entry) in solo.entry_addresses().into_iter().enumerate() {
        let id = format!("{number:016x}");
        statuses.push(submit(&solo, entry, &id, job.clone()).await);
    }

    assert_eq!(statuses, [StatusCode::OK, StatusCode::OK]);
    assert_eq!(solo.count_starts(), 6);
    solo.stop().await;
}

/// Number of kept jobs in [`all_kept_jobs_of_many_callers_are_answered`], and number of callers that submit them.
const KEPT_JOBS: usize = 300;
const CALLERS: usize = 8;

async fn query(host: &str, entry: SocketAddr, path: String) -> (StatusCode, Bytes) {
    let request = http::Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("Host", host)
        .body(Full::new(Bytes::new()))
        .unwrap();
    let answer = HttpClient::default()
        .call(entry, request, TEST_TIMEOUT)
        .await;
    let (status, _, body) = answer.unwrap();
    (status, body)
}

/// Submits a kept job until it is accepted, and waits until the other entry reports it as completed.
async fn finish_kept_job(solo: &LeasedSolo, number: usize) {
    let entries = solo.entry_addresses();
    let (entry, other) = (entries[number % 2], entries[(number + 1) % 2]);
    let id = format!("{:016x}", 0xabc0_0000 + number);
    let job = solo.queue().job(1 + (number % 3) as u32, 20, true);
    while submit(solo, entry, &id, job.clone()).await != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    loop {
        let (status, body) = query(solo.queue().host(), other, solo.queue().job_path(&id)).await;
        if status == StatusCode::OK && body == r#"{"State":"completed"}"# {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against busy polling: a guard that polls its in-process target without delay until the end of a kept run is recorded occupies all
/// threads and starves the control processes that record ends.
#[tokio::test(flavor = "multi_thread")]
async fn all_kept_jobs_of_many_callers_are_answered() {
    let solo = Arc::new(LeasedSolo::start(SoloSize::default()).await.unwrap());
    let mut callers = JoinSet::new();

    for caller in 0..CALLERS {
        let solo = solo.clone();
        callers.spawn(async move {
            for number in (caller..KEPT_JOBS).step_by(CALLERS) {
                finish_kept_job(&solo, number).await;
            }
        });
    }
    let all = tokio::time::timeout(TEST_TIMEOUT, callers.join_all()).await;

    assert!(all.is_ok(), "some kept jobs were not answered in time");
}
