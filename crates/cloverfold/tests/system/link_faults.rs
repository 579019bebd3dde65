//! Links that delay, drop, duplicate or reorder packets, fall silent, or break.

use std::time::Duration;

use cloverfold_faults::Faults;
use tokio::time::sleep;

use crate::cluster::{Cluster, ClusterConfig, TestJob};

#[tokio::test(flavor = "multi_thread")]
async fn lost_duplicated_and_reordered_datagrams_mix_up_no_answers() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    for link in &cluster.guard_links {
        link.set(Faults {
            delay: Duration::from_millis(2),
            jitter: Duration::from_millis(20),
            loss: 0.05,
            duplication: 0.3,
            is_blackholed: false,
        });
    }
    let jobs: Vec<_> = (0..60)
        .map(|number| TestJob::new(&format!("crossed-{number}"), 1 + number % 4, 20))
        .collect();

    let requests = jobs
        .iter()
        .enumerate()
        .map(|(number, job)| cluster.submit(number % 2, job));
    let answers = futures_util::future::join_all(requests).await;

    for answer in answers {
        assert_eq!(answer.unwrap().outcome, "complete");
    }
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silently_isolated_coordinator_is_replaced_and_may_return() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let victim = 0;
    let names = (0..8).map(|number| cluster.find_job_name_for(victim, &format!("silent-{number}")));
    let jobs: Vec<_> = names.map(|name| TestJob::new(&name, 1, 800)).collect();

    let requests = jobs.iter().map(|job| cluster.submit(0, job));
    let all = futures_util::future::join_all(requests);
    tokio::pin!(all);
    tokio::select! {
        _ = &mut all => panic!("the jobs ended before the cut"),
        () = cluster.wait_for_starts(8) => {}
    }
    cluster.set_isolation(victim, true);
    let answers = all.await;
    cluster.set_isolation(victim, false);
    cluster.wait_until_ready().await;
    let requests = jobs.iter().map(|job| cluster.submit(1, job));
    let again = futures_util::future::join_all(requests).await;

    let is_complete = |answer: &&Result<cloverfold_load::JobAnswer, _>| {
        answer.as_ref().is_ok_and(|one| one.outcome == "complete")
    };
    assert!(answers.iter().filter(is_complete).count() > 0);
    for answer in again {
        let answer = answer.unwrap();
        assert!(["complete", "failed"].contains(&answer.outcome.as_str()));
    }
    assert_eq!(cluster.count_starts(), 8);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_on_a_broken_target_connection_is_never_retried() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("broken", 10, 500);

    let disrupt = || {
        for link in &cluster.target_links {
            link.close_connections();
        }
    };
    let answer = cluster.submit_with_disruption(&job, 10, disrupt).await;
    sleep(Duration::from_millis(300)).await;

    assert_eq!(answer.outcome, "failed");
    assert_eq!(answer.error_code(), Some("target_lost"));
    assert_eq!(cluster.count_starts(), 10);
    cluster.assert_no_violations();
}
