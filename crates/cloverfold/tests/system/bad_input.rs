//! Invalid requests and slow connections.

use std::time::Duration;

use bytes::Bytes;
use cloverfold_load::{CallerKey, JobAnswer};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::cluster::{Cluster, ClusterConfig, TestJob, unix_ms};

/// An invalid request and the expected error.
struct Case {
    key: Option<&'static str>,
    body: Bytes,
    status: u16,
    code: &'static str,
    /// Field or header that the error names.
    field: Option<&'static str>,
}

fn job_with(changes: Value) -> Bytes {
    let mut job = json!({ "service": "sample", "tasks": [{}] });
    let job_fields = job.as_object_mut().unwrap();
    job_fields.extend(changes.as_object().unwrap().clone());
    job.to_string().into()
}

fn case(body: Bytes, code: &'static str, field: &'static str) -> Case {
    Case {
        key: None,
        body,
        status: 400,
        code,
        field: Some(field),
    }
}

fn list_cases() -> Vec<Case> {
    let too_many = vec![json!({}); 1_901];
    let mut cases = vec![
        case(job_with(json!({ "tasks": [] })), "no_tasks", "tasks"),
        case(
            job_with(json!({ "tasks": too_many })),
            "too_many_tasks",
            "tasks",
        ),
        case(
            job_with(json!({ "service": "none" })),
            "unknown_service",
            "service",
        ),
        case(job_with(json!({ "service": 3 })), "bad_body", "service"),
        case(job_with(json!({ "surprise": 3 })), "bad_body", "surprise"),
        case(job_with(json!({ "repeat": "often" })), "bad_body", "repeat"),
        case(
            job_with(json!({ "deadline_ms": 0 })),
            "bad_deadline",
            "deadline_ms",
        ),
        case(
            job_with(json!({ "deadline_ms": u64::MAX })),
            "bad_deadline",
            "deadline_ms",
        ),
        case(
            job_with(json!({ "deadline_ms": 5, "deadline_unix_ms": 5 })),
            "bad_deadline",
            "deadline_unix_ms",
        ),
    ];
    cases.push(Case {
        key: None,
        body: job_with(json!({ "deadline_unix_ms": unix_ms() - 1_000 })),
        status: 422,
        code: "deadline_passed",
        field: None,
    });
    cases.push(Case {
        key: None,
        body: Bytes::from_static(b"{ \"service\": \"sample\", "),
        status: 400,
        code: "bad_body",
        field: None,
    });
    cases.push(Case {
        key: None,
        body: Bytes::from(vec![b' '; 300_000]),
        status: 413,
        code: "body_too_large",
        field: None,
    });
    cases.push(Case {
        key: Some("no blanks"),
        body: job_with(json!({})),
        status: 400,
        code: "bad_key",
        field: Some("Idempotency-Key"),
    });
    cases.push(Case {
        key: Some("without-its-time"),
        body: job_with(json!({})),
        status: 400,
        code: "bad_first_submitted",
        field: Some("first_submitted_unix_ms"),
    });
    cases.push(Case {
        key: Some("from-the-future"),
        body: job_with(json!({ "first_submitted_unix_ms": unix_ms() + 3_600_000 })),
        status: 400,
        code: "bad_first_submitted",
        field: Some("first_submitted_unix_ms"),
    });
    cases
}

fn cluster_config() -> ClusterConfig {
    ClusterConfig {
        entry: json!({ "max_body": 200_000, "read_timeout_ms": 400 }),
        ..ClusterConfig::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_rejected_with_their_field_and_start_nothing() {
    let cluster = Cluster::start(cluster_config()).await;

    for case in list_cases() {
        let answer = submit_raw(&cluster, &cluster.caller, &case).await;

        let error = answer.error.clone().unwrap();
        assert_eq!(answer.outcome, "not_run", "{error}");
        assert_eq!(answer.error_code(), Some(case.code), "{error}");
        assert_eq!(answer.status, case.status, "{error}");
        assert_eq!(error["field"].as_str(), case.field, "{error}");
        assert!(!error["message"].as_str().unwrap().is_empty());
    }
    assert_eq!(cluster.count_starts(), 0);
}

async fn submit_raw(cluster: &Cluster, caller: &CallerKey, case: &Case) -> JobAnswer {
    let entry = cluster.entry_http_addresses[0];
    let body = case.body.clone();
    let answer = cluster.client.submit_raw(entry, caller, case.key, body);
    answer.await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthorized_callers_are_rejected_and_other_workspaces_see_no_job() {
    let cluster = Cluster::start(cluster_config()).await;
    let job = TestJob::new("mine", 1, 10);
    cluster.submit(0, &job).await.unwrap();
    let case = case(job_with(json!({})), "unauthorized", "Authorization");

    for (workspace, key) in [("pharmacy", "clinic-key"), ("nobody", "pharmacy-key")] {
        let caller = CallerKey {
            workspace: workspace.into(),
            key: key.into(),
        };
        let answer = submit_raw(&cluster, &caller, &case).await;
        assert_eq!(answer.status, 401);
        assert_eq!(answer.error_code(), Some("unauthorized"));
    }
    let other = CallerKey {
        workspace: "clinic".into(),
        key: "clinic-key".into(),
    };
    let state = cluster
        .client
        .query(cluster.entry_http_addresses[0], &other, "mine");
    assert_eq!(state.await.unwrap().outcome, "not_seen");
    assert_eq!(cluster.count_starts(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_with_another_body_is_a_conflict() {
    let cluster = Cluster::start(cluster_config()).await;
    let job = TestJob::new("conflict", 2, 10);
    let mut other = job.clone();
    other.tasks = 3;

    let first = cluster.submit(0, &job).await.unwrap();
    let request = other.request();
    let second = cluster
        .client
        .submit(cluster.entry_http_addresses[1], &cluster.caller, &request)
        .await
        .unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(second.status, 409);
    assert_eq!(second.outcome, "not_run");
    assert_eq!(second.error_code(), Some("key_conflict"));
    assert_eq!(cluster.count_starts(), 2);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_rejected_for_its_deadline_never_runs() {
    let cluster = Cluster::start(cluster_config()).await;
    let submitted_at = unix_ms();
    let body = |deadline_ms: u64| {
        job_with(json!({
            "first_submitted_unix_ms": submitted_at,
            "deadline_unix_ms": deadline_ms,
        }))
    };

    let mut answers = Vec::new();
    for (entry, deadline) in [(0, submitted_at - 1_000), (1, submitted_at + 20_000)] {
        let entry = cluster.entry_http_addresses[entry];
        let request =
            cluster
                .client
                .submit_raw(entry, &cluster.caller, Some("too-late"), body(deadline));
        answers.push(request.await.unwrap());
    }

    for answer in answers {
        assert_eq!(answer.outcome, "not_run");
        assert_eq!(answer.error_code(), Some("deadline_passed"));
    }
    assert_eq!(cluster.count_starts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_and_half_open_connections_do_not_block_other_callers() {
    let cluster = Cluster::start(cluster_config()).await;
    let entry = cluster.entry_http_addresses[0];
    let mut half_open = Vec::new();
    for _ in 0..50 {
        let mut stream = TcpStream::connect(entry).await.unwrap();
        stream.write_all(b"POST /v1/jobs HT").await.unwrap();
        half_open.push(stream);
    }
    let mut slow = TcpStream::connect(entry).await.unwrap();
    let head = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: entry\r\nCloverfold-Customer: {}\r\nAuthorization: Bearer {}\r\nContent-Length: 500\r\n\r\n{{",
        cluster.caller.workspace, cluster.caller.key
    );
    slow.write_all(head.as_bytes()).await.unwrap();

    let job = TestJob::new("beside", 4, 10);
    let answer = cluster.submit(0, &job).await.unwrap();
    let mut reply = vec![0; 400];
    let read = tokio::time::timeout(Duration::from_secs(20), slow.read(&mut reply));
    let len = read.await.expect("the slow caller gets an answer").unwrap();

    assert_eq!(answer.outcome, "complete");
    let reply = String::from_utf8_lossy(&reply[..len]);
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply}");
    assert!(reply.contains("body_too_slow"), "{reply}");
}
