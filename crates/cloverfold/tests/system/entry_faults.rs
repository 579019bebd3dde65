//! Entries that are killed with requests in flight.

use crate::cluster::{Cluster, ClusterConfig, TestJob};

#[tokio::test(flavor = "multi_thread")]
async fn a_job_survives_its_entry_and_is_answered_by_another() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("orphan", 12, 600);

    let lost_request = job.request();
    let request = cluster.client.submit(
        cluster.entry_http_addresses[0],
        &cluster.caller,
        &lost_request,
    );
    let lost = tokio::select! {
        answer = request => Some(answer),
        () = cluster.wait_for_starts(12) => None,
    };
    cluster.kill_entry(0);
    let answer = cluster.submit(1, &job).await.unwrap();

    assert!(lost.is_none(), "the first request was still in flight");
    assert_eq!(answer.outcome, "complete");
    assert_eq!(cluster.count_starts(), 12);
    cluster.assert_no_violations();
}
