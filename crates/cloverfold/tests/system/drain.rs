//! Planned stops of guards and entries.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::{Cluster, ClusterConfig, TestJob};

/// Time after SIGTERM within which a guard stops starting tasks.
const DRAIN_START_TIMEOUT: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_guard_completes_its_tasks_and_soon_starts_no_more() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let victim = 4;
    let jobs: Vec<_> = (0..120)
        .map(|number| TestJob::new(&format!("drain-{number}"), 2, 100))
        .collect();

    let mut signalled_at = None;
    let mut requests = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        if number == 40 {
            cluster.signal_guard(victim, Signal::TERM);
            signalled_at = Some(Instant::now());
        }
        requests.push(cluster.submit(number % 2, job));
        if requests.len() == 10 {
            for answer in futures_util::future::join_all(requests.drain(..)).await {
                let answer = answer.unwrap();
                assert_eq!(answer.outcome, "complete", "{answer:?}");
            }
        }
    }
    drop(requests);
    let exited_cleanly = cluster.wait_for_guard_exit(victim).await;

    assert!(exited_cleanly);
    let last_start = signalled_at.unwrap() + DRAIN_START_TIMEOUT;
    let starts = cluster.targets[victim].journal().list_starts();
    assert!(starts.iter().all(|start| start.started_at < last_start));
    assert!(starts.iter().all(|start| start.ended_at.is_some()));
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_placed_before_the_lead_knows_of_a_drain_runs_elsewhere() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let (lead, victim) = (0, 4);
    let jobs: Vec<_> = (0..15)
        .map(|number| TestJob::new(&format!("late-{number}"), 2, 100))
        .collect();
    cluster.delay_between(lead, victim, Duration::from_millis(150));

    cluster.signal_guard(victim, Signal::TERM);
    let requests = jobs.iter().map(|job| cluster.submit(0, job));
    let answers = futures_util::future::join_all(requests).await;
    let exited_cleanly = cluster.wait_for_guard_exit(victim).await;

    assert!(exited_cleanly);
    for answer in answers {
        let answer = answer.unwrap();
        assert_eq!(answer.outcome, "complete", "{answer:?}");
    }
    assert_eq!(cluster.targets[victim].journal().count_starts(), 0);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_guard_returns_tasks_that_it_has_not_started() {
    let config = ClusterConfig {
        guards: 3,
        slots: 1,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(config).await;
    let job = TestJob::new("queued", 12, 300);

    let disrupt = || {
        let group = cluster.replica_group_of(&job);
        cluster.signal_guard(group[2], Signal::TERM);
    };
    let answer = cluster.submit_with_disruption(&job, 3, disrupt).await;
    let victim = cluster.replica_group_of(&job)[2];
    let exited_cleanly = cluster.wait_for_guard_exit(victim).await;

    assert!(exited_cleanly);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(cluster.targets[victim].journal().count_starts(), 1);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_coordinator_answers_its_jobs_before_it_exits() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("coordinated", 10, 700);
    let victim = cluster.replica_group_of(&job)[0];

    let disrupt = || cluster.signal_guard(victim, Signal::TERM);
    let answer = cluster.submit_with_disruption(&job, 10, disrupt).await;
    let exited_cleanly = cluster.wait_for_guard_exit(victim).await;

    assert!(exited_cleanly);
    assert_eq!(answer.outcome, "complete");
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_entry_answers_requests_in_flight() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("entered", 8, 700);

    let disrupt = || cluster.signal_entry(0, Signal::TERM);
    let answer = cluster.submit_with_disruption(&job, 8, disrupt).await;
    let exited_cleanly = cluster.wait_for_entry_exit(0).await;

    assert!(exited_cleanly);
    assert_eq!(answer.outcome, "complete");
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_leaves_completes_its_jobs_and_another_guard_takes_over() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("led", 10, 700);
    let lead = cluster.replica_group_of(&job)[0];

    let disrupt = || {
        let output = cluster.run_operator(&["leave"], &[&(lead + 1).to_string()]);
        assert!(output.contains("is leaving"), "{output}");
    };
    let answer = cluster.submit_with_disruption(&job, 10, disrupt).await;
    let exited_cleanly = cluster.wait_for_guard_exit(lead).await;
    let later = cluster
        .submit(1, &TestJob::new("unled", 10, 30))
        .await
        .unwrap();
    let status = cluster.run_operator(&["status"], &[]);

    assert!(exited_cleanly);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(later.outcome, "complete");
    assert_eq!(status.matches(" whole ").count(), 4, "{status}");
    cluster.assert_no_violations();
}
