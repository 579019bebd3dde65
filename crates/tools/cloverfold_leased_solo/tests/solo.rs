//! A leased installation in one process, from its start to an answered job.

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

/// Longest wait for something that must come; no test depends on how long it takes.
const PATIENCE: Duration = Duration::from_secs(60);

async fn submit(solo: &LeasedSolo, entry: SocketAddr, id: &str, body: String) -> StatusCode {
    let request = http::Request::builder()
        .method(Method::POST)
        .uri(solo.queue().job_path(id))
        .header("Host", solo.queue().host())
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let answer = HttpClient::default().call(entry, request, PATIENCE).await;
    answer.unwrap().0
}

#[tokio::test(flavor = "multi_thread")]
async fn every_entry_answers_a_job_whose_tasks_run_once() {
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

/// Kept jobs of [`every_kept_job_of_many_callers_is_answered`], and how many callers send them.
const KEPT_JOBS: usize = 300;
const CALLERS: usize = 8;

async fn ask(host: &str, entry: SocketAddr, path: String) -> (StatusCode, Bytes) {
    let request = http::Request::builder()
        .method(Method::GET)
        .uri(path)
        .header("Host", host)
        .body(Full::new(Bytes::new()))
        .unwrap();
    let answer = HttpClient::default().call(entry, request, PATIENCE).await;
    let (status, _, body) = answer.unwrap();
    (status, body)
}

/// Submits a kept job until it is accepted, and waits until the other entry shows its end.
async fn finish_kept_job(solo: &LeasedSolo, number: usize) {
    let entries = solo.entry_addresses();
    let (entry, other) = (entries[number % 2], entries[(number + 1) % 2]);
    let id = format!("{:016x}", 0xabc0_0000 + number);
    let job = solo.queue().job(1 + (number % 3) as u32, 20, true);
    while submit(solo, entry, &id, job.clone()).await != StatusCode::OK {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    loop {
        let (status, body) = ask(solo.queue().host(), other, solo.queue().job_path(&id)).await;
        if status == StatusCode::OK && body == r#"{"State":"completed"}"# {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A guard asked its target again and again, as fast as that answers, while the end of a kept run was not recorded. The sample targets
/// answer without ever waiting, so all threads of the process were at that, and the control processes that record ends got no turn: after a
/// dozen jobs no call was answered any more.
#[tokio::test(flavor = "multi_thread")]
async fn every_kept_job_of_many_callers_is_answered() {
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
    let all = tokio::time::timeout(PATIENCE, callers.join_all()).await;

    assert!(all.is_ok(), "some kept jobs are not answered");
}
