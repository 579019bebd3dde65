//! Guards that are killed, restart and lose their in-memory state.

use serde_json::json;

use crate::checker::make_echo;
use crate::cluster::{Cluster, ClusterConfig, TestJob, wait_until};

/// Returns the index of the target that started a job's first task.
fn find_first_start(cluster: &Cluster, job: &TestJob) -> Option<usize> {
    let echo = make_echo(&job.name, 0);
    let is_start = |body: &[u8]| {
        let body: serde_json::Value = serde_json::from_slice(body).unwrap();
        body["echo"] == echo
    };
    let journals = cluster.journals();
    let has_start = |index: &usize| {
        let starts = journals[*index].list_starts();
        starts.iter().any(|start| is_start(&start.body))
    };
    (0..journals.len()).find(has_start)
}

/// Submits jobs concurrently and returns their outcomes.
async fn submit_all(cluster: &Cluster, jobs: &[TestJob]) -> Vec<String> {
    let mut outcomes = Vec::new();
    let mut requests = Vec::new();
    for job in jobs {
        requests.push(cluster.submit(0, job));
    }
    for request in futures_util::future::join_all(requests).await {
        outcomes.push(request.unwrap().outcome);
    }
    outcomes
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guard_killed_before_a_start_causes_no_second_start() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let jobs: Vec<_> = (0..12)
        .map(|number| TestJob::new(&format!("before-{number}"), 1, 50))
        .collect();

    cluster.kill_guard(2);
    let outcomes = submit_all(&cluster, &jobs).await;
    let later = TestJob::new("before-later", 10, 20);
    wait_until("the killed guard gets no more work", async || {
        cluster
            .read_guard_metric(0, "cloverfold_members_live")
            .await
            == 4.0
    })
    .await;
    let first = cluster.replica_group_of(&later)[0];
    if first != 2 {
        cluster.wait_for_live_members(first, 4).await;
    }
    let later = cluster.submit(1, &later).await.unwrap();

    assert!(outcomes.iter().any(|outcome| outcome == "complete"));
    assert_eq!(later.outcome, "complete");
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guard_killed_during_tasks_fails_their_jobs() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("during", 20, 1_500);

    let request = cluster.submit(0, &job);
    let answer = {
        let kill = cluster.wait_for_starts(20);
        tokio::pin!(request);
        tokio::select! {
            _ = &mut request => panic!("the job ended before its guard was killed"),
            () = kill => {}
        }
        let victim = find_first_start(&cluster, &job).unwrap();
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
        request.await.unwrap()
    };
    let again = cluster.submit(1, &job).await.unwrap();

    assert_eq!(answer.outcome, "failed");
    assert_eq!(answer.error_code(), Some("guard_lost"));
    assert_eq!(again.outcome, "failed");
    assert_eq!(cluster.count_starts(), 20);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_survive_a_guard_killed_after_its_tasks() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("after", 10, 30);

    let first = cluster.submit(0, &job).await.unwrap();
    let group = cluster.replica_group_of(&job);
    let victim = (0..5).find(|index| *index != group[0]).unwrap();
    cluster.kill_guard(victim);
    let again = cluster.submit(1, &job).await.unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(again.results, first.results);
    assert_eq!(cluster.count_starts(), 10);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn another_replica_takes_over_from_a_killed_coordinator() {
    let config = ClusterConfig {
        cell: json!({ "has_lead": false }),
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(config).await;
    let victim = 1;
    let names = (0..10).map(|number| cluster.find_job_name_for(victim, &format!("take-{number}")));
    let jobs: Vec<_> = names.map(|name| TestJob::new(&name, 1, 1_200)).collect();

    let outcomes = {
        let all = submit_all(&cluster, &jobs);
        tokio::pin!(all);
        tokio::select! {
            _ = &mut all => panic!("the jobs ended before their coordinator was killed"),
            () = cluster.wait_for_starts(10) => {}
        }
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
        all.await
    };

    let mut taken_over = 0;
    for (job, outcome) in jobs.iter().zip(&outcomes) {
        let ran_at_victim = find_first_start(&cluster, job) == Some(victim);
        let expected = if ran_at_victim { "failed" } else { "complete" };
        assert_eq!(outcome, expected, "{}", job.name);
        taken_over += usize::from(!ran_at_victim);
    }
    assert!(taken_over > 0);
    assert_eq!(cluster.count_starts(), 10);
    cluster.kill_guard(victim);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_guard_recovers_its_claims_and_refuses_old_assignments() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let jobs: Vec<_> = (0..10)
        .map(|number| TestJob::new(&format!("restart-{number}"), 2, 700))
        .collect();

    let victim = cluster.replica_group_of(&jobs[0])[1];

    let outcomes = {
        let all = submit_all(&cluster, &jobs);
        tokio::pin!(all);
        tokio::select! {
            _ = &mut all => panic!("the jobs ended before the restart"),
            () = cluster.wait_for_starts(20) => {}
        }
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
        all.await
    };
    cluster.kill_guard(victim);
    cluster.start_guard(victim);
    cluster.wait_until_ready().await;
    let records = cluster
        .read_guard_metric(victim, "cloverfold_claim_records")
        .await;
    let again = submit_all(&cluster, &jobs).await;

    assert_eq!(outcomes, again, "the same key has the same answer");
    assert!(records > 0.0, "the restarted guard has copied claims");
    assert_eq!(cluster.count_starts(), 20);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_two_replicas_in_turn_causes_no_second_start() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("two-lost", 5, 30);
    let group = cluster.replica_group_of(&job);

    let first = cluster.submit(0, &job).await.unwrap();
    cluster.kill_guard(group[0]);
    cluster.kill_guard(group[1]);
    let with_one_replica = cluster.submit(1, &job).await.unwrap();
    cluster.start_guard(group[0]);
    cluster.start_guard(group[1]);
    // Both have lost their claims, and neither can recover this group from the other.
    cluster.wait_for_live_members(group[2], 5).await;
    let with_two_restarted = cluster.submit(1, &job).await.unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(with_one_replica.outcome, "unknown");
    assert_eq!(with_two_restarted.outcome, "unknown");
    assert_eq!(with_two_restarted.error_code(), Some("no_quorum"));
    assert_eq!(cluster.count_starts(), 5);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_after_recovery_from_the_first_loses_no_claim() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let job = TestJob::new("repaired", 5, 30);
    let group = cluster.replica_group_of(&job);

    let first = cluster.submit(0, &job).await.unwrap();
    cluster.kill_guard(group[0]);
    cluster.start_guard(group[0]);
    cluster.wait_until_ready().await;
    cluster.kill_guard(group[1]);
    let again = cluster.submit(1, &job).await.unwrap();

    assert_eq!(first.outcome, "complete");
    // The claim is known; whether its answer is still complete depends on where the tasks ran.
    assert!(["complete", "failed"].contains(&again.outcome.as_str()));
    assert_eq!(cluster.count_starts(), 5);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_lost_its_quorum_serves_again_after_the_retention() {
    let config = ClusterConfig {
        guards: 3,
        cell: json!({ "retention_ms": 1_000, "answer_retention_ms": 1_000 }),
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start(config).await;
    let old = TestJob::new("old", 2, 20);

    let first = cluster.submit(0, &old).await.unwrap();
    cluster.kill_guard(0);
    cluster.kill_guard(1);
    cluster.start_guard(0);
    cluster.start_guard(1);
    cluster.wait_until_ready().await;
    let new = cluster
        .submit(0, &TestJob::new("new", 2, 20))
        .await
        .unwrap();
    let expired = cluster.submit(0, &old).await.unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(new.outcome, "complete");
    assert_eq!(expired.outcome, "unknown");
    assert_eq!(expired.error_code(), Some("key_expired"));
    assert_eq!(cluster.count_starts(), 4);
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_job_survives_the_loss_of_a_guard() {
    let cluster = Cluster::start(ClusterConfig::default()).await;
    // One task for each slot, so that every guard runs some.
    let mut job = TestJob::new("repeatable", 40, 800);
    job.repeat = Some("allowed");

    let group = cluster.replica_group_of(&job);
    let victim = (0..5).find(|index| !group.contains(index)).unwrap();
    let disrupt = || {
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
    };
    let answer = cluster.submit_with_disruption(&job, 40, disrupt).await;

    assert_eq!(answer.outcome, "complete");
    assert!(
        cluster.count_starts() > 40,
        "tasks of the killed guard ran again"
    );
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_without_a_key_is_not_reported_not_run_after_the_loss_of_its_coordinator() {
    let config = ClusterConfig {
        guards: 3,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(config).await;
    let jobs: Vec<_> = (0..9)
        .map(|number| {
            let mut job = TestJob::new(&format!("keyless-{number}"), 3, 900);
            job.has_key = false;
            job
        })
        .collect();

    let all = submit_all(&cluster, &jobs);
    tokio::pin!(all);
    tokio::select! {
        _ = &mut all => panic!("the jobs ended before the guards were killed"),
        () = cluster.wait_for_starts(20) => {}
    }
    cluster.signal_guard(0, rustix::process::Signal::KILL);
    cluster.signal_guard(1, rustix::process::Signal::KILL);
    let outcomes = all.await;

    assert!(outcomes.iter().any(|outcome| outcome == "unknown"));
    cluster.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_killed_and_restarted_under_load_leads_again() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await;
    let lead = 0;
    let submit_phase = async |cluster: &Cluster, phase: &str| {
        for number in 0..20 {
            let job = TestJob::new(&format!("{phase}-{number}"), 2, 10);
            let answer = cluster.submit(number % 2, &job).await.unwrap();
            assert_eq!(answer.outcome, "complete", "{phase} {number}");
        }
    };

    cluster.kill_guard(lead);
    for other in 1..5 {
        cluster.wait_for_live_members(other, 4).await;
    }
    submit_phase(&cluster, "without").await;
    cluster.start_guard(lead);
    submit_phase(&cluster, "recovering").await;
    cluster.wait_until_ready().await;
    let series = "cloverfold_jobs_total{outcome=\"complete\"}";
    submit_phase(&cluster, "again").await;
    let led_jobs = cluster.read_guard_metric(lead, series).await;

    assert!(led_jobs > 0.0, "the restarted lead coordinates jobs");
    cluster.assert_no_violations();
}
