//! The path of a job from submission to answer, without faults.

use crate::cluster::{Cluster, ClusterConfig, TestJob, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn a_resubmitted_job_gets_the_same_results_without_a_second_start() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("whole", 40, 30);

    let first = cluster.submit(0, &job).await.unwrap();
    let again = cluster.submit(1, &job).await.unwrap();
    let state = cluster
        .client
        .query(cluster.entry_http_addresses[1], &cluster.caller, &job.name)
        .await
        .unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(first.results, again.results);
    assert_eq!(state.outcome, "complete");
    assert_eq!(cluster.count_starts(), 40);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_submission_through_two_entries_at_once_runs_once() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("twins", 10, 100);

    let (first, second) = tokio::join!(cluster.submit(0, &job), cluster.submit(1, &job));

    assert_eq!(first.unwrap().outcome, "complete");
    assert_eq!(second.unwrap().outcome, "complete");
    assert_eq!(cluster.count_starts(), 10);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failing_task_fails_the_whole_job() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let mut request = TestJob::new("failing", 3, 20).request();
    request.tasks[1]["fails"] = true.into();

    let answer = cluster
        .client
        .submit(cluster.entry_http_addresses[0], &cluster.caller, &request)
        .await
        .unwrap();

    assert_eq!(answer.outcome, "failed");
    assert_eq!(answer.error_code(), Some("target_failed"));
    assert!(answer.results.is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn running_tasks_of_a_failed_job_are_cancelled() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let mut request = TestJob::new("cancelled", 2, 20_000).request();
    request.tasks[0]["duration_ms"] = 100.into();
    request.tasks[0]["fails"] = true.into();

    let answer = cluster
        .client
        .submit(cluster.entry_http_addresses[0], &cluster.caller, &request)
        .await
        .unwrap();
    wait_until("the other task is cancelled", async || {
        let cancelled = cluster
            .targets
            .iter()
            .map(|target| target.list_cancelled().len());
        cancelled.sum::<usize>() == 1
    })
    .await;

    assert_eq!(answer.outcome, "failed");
    assert_eq!(answer.error_code(), Some("target_failed"));
    assert_eq!(cluster.count_starts(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn guards_export_the_starts_that_their_targets_report() {
    let cluster = Cluster::start(ClusterConfig::default()).await;

    cluster
        .submit(0, &TestJob::new("reported", 40, 10))
        .await
        .unwrap();

    wait_until("the guards export all reported starts", async || {
        let mut reported = 0.0;
        for guard in 0..5 {
            let series = "cloverfold_target_reported_starts";
            reported += cluster.read_guard_metric(guard, series).await;
        }
        reported == 40.0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_runs_before_the_cell_is_bootstrapped() {
    let mut cluster = Cluster::start_without_bootstrap(ClusterConfig::default()).await;
    let job = TestJob::new("early", 2, 20);
    let other = TestJob::new("later", 2, 20);

    let early = cluster.submit(0, &job).await;
    cluster.bootstrap().await;
    cluster.wait_until_ready().await;
    let later = cluster.submit(0, &other).await.unwrap();

    if let Ok(early) = early {
        assert_eq!(early.outcome, "unknown");
    }
    assert_eq!(later.outcome, "complete");
    assert_eq!(cluster.count_starts(), 2);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_without_a_slot_before_its_deadline_never_runs() {
    let config = ClusterConfig {
        guards: 3,
        slots: 1,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(config).await;
    let first = TestJob::new("holding", 3, 1_200);
    let mut hurried = TestJob::new("hurried", 2, 20);
    hurried.deadline_ms = Some(200);

    let holding = cluster.submit(0, &first);
    let refused = async {
        cluster.wait_for_starts(3).await;
        cluster.submit(1, &hurried).await.unwrap()
    };
    let (holding, refused) = tokio::join!(holding, refused);
    hurried.deadline_ms = None;
    let again = cluster.submit(0, &hurried).await.unwrap();

    assert_eq!(holding.unwrap().outcome, "complete");
    assert_eq!(refused.outcome, "not_run");
    assert_eq!(refused.error_code(), Some("deadline_passed"));
    assert_eq!(again.outcome, "not_run", "a rejected key stays rejected");
    assert_eq!(cluster.count_starts(), 3);
    cluster.assert_no_violations();
}
