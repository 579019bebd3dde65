//! Guards that die, restart and forget.

use serde_json::json;

use crate::checker::make_echo;
use crate::cluster::{Cluster, Shape, TestJob, wait_until};

/// Tells at which target a job's first task started, counted from 0.
fn find_start(cluster: &Cluster, job: &TestJob) -> Option<usize> {
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

/// Submits jobs of one task side by side and returns their outcomes.
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
async fn a_guard_killed_before_the_start_costs_no_second_start() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let jobs: Vec<_> = (0..12)
        .map(|number| TestJob::new(&format!("before-{number}"), 1, 50))
        .collect();

    cluster.kill_guard(2);
    let outcomes = submit_all(&cluster, &jobs).await;
    let later = TestJob::new("before-later", 10, 20);
    wait_until("the dead guard gets no more work", async || {
        cluster
            .read_guard_metric(0, "cloverfold_members_live")
            .await
            == 4.0
    })
    .await;
    let first = cluster.group_of(&later)[0];
    if first != 2 {
        cluster.wait_members_live(first, 4).await;
    }
    let later = cluster.submit(1, &later).await.unwrap();

    assert!(outcomes.iter().any(|outcome| outcome == "complete"));
    assert_eq!(later.outcome, "complete");
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guard_killed_during_tasks_fails_their_jobs_whole() {
    let cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("during", 20, 1_500);

    let request = cluster.submit(0, &job);
    let answer = {
        let kill = cluster.wait_starts(20);
        tokio::pin!(request);
        tokio::select! {
            _ = &mut request => panic!("the job ended before its guard was killed"),
            () = kill => {}
        }
        let victim = find_start(&cluster, &job).unwrap();
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
        request.await.unwrap()
    };
    let again = cluster.submit(1, &job).await.unwrap();

    assert_eq!(answer.outcome, "failed");
    assert_eq!(answer.error_code(), Some("guard_lost"));
    assert_eq!(again.outcome, "failed");
    assert_eq!(cluster.count_starts(), 20);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_guard_killed_after_its_tasks_takes_no_answer_with_it() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("after", 10, 30);

    let first = cluster.submit(0, &job).await.unwrap();
    let group = cluster.group_of(&job);
    let victim = (0..5).find(|index| *index != group[0]).unwrap();
    cluster.kill_guard(victim);
    let again = cluster.submit(1, &job).await.unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(again.results, first.results);
    assert_eq!(cluster.count_starts(), 10);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn another_member_takes_over_from_a_dead_coordinator() {
    let shape = Shape {
        cell: json!({ "has_lead": false }),
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let victim = 1;
    let names = (0..10).map(|number| cluster.name_job_for(victim, &format!("take-{number}")));
    let jobs: Vec<_> = names.map(|name| TestJob::new(&name, 1, 1_200)).collect();

    let outcomes = {
        let all = submit_all(&cluster, &jobs);
        tokio::pin!(all);
        tokio::select! {
            _ = &mut all => panic!("the jobs ended before their coordinator was killed"),
            () = cluster.wait_starts(10) => {}
        }
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
        all.await
    };

    let mut taken_over = 0;
    for (job, outcome) in jobs.iter().zip(&outcomes) {
        let ran_at_victim = find_start(&cluster, job) == Some(victim);
        let expected = if ran_at_victim { "failed" } else { "complete" };
        assert_eq!(outcome, expected, "{}", job.name);
        taken_over += usize::from(!ran_at_victim);
    }
    assert!(taken_over > 0);
    assert_eq!(cluster.count_starts(), 10);
    cluster.kill_guard(victim);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_guard_recovers_its_claims_and_refuses_old_assignments() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let jobs: Vec<_> = (0..10)
        .map(|number| TestJob::new(&format!("restart-{number}"), 2, 700))
        .collect();

    let victim = cluster.group_of(&jobs[0])[1];

    let outcomes = {
        let all = submit_all(&cluster, &jobs);
        tokio::pin!(all);
        tokio::select! {
            _ = &mut all => panic!("the jobs ended before the restart"),
            () = cluster.wait_starts(20) => {}
        }
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
        all.await
    };
    cluster.kill_guard(victim);
    cluster.start_guard(victim);
    cluster.wait_ready().await;
    let records = cluster
        .read_guard_metric(victim, "cloverfold_claim_records")
        .await;
    let again = submit_all(&cluster, &jobs).await;

    assert_eq!(outcomes, again, "the same key has the same answer");
    assert!(records > 0.0, "the restarted guard has copied claims");
    assert_eq!(cluster.count_starts(), 20);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_loss_of_two_members_one_after_the_other_starts_nothing_again() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("two-lost", 5, 30);
    let group = cluster.group_of(&job);

    let first = cluster.submit(0, &job).await.unwrap();
    cluster.kill_guard(group[0]);
    cluster.kill_guard(group[1]);
    let with_one_left = cluster.submit(1, &job).await.unwrap();
    cluster.start_guard(group[0]);
    cluster.start_guard(group[1]);
    // Both have forgotten, and neither can recover this group from the other.
    cluster.wait_members_live(group[2], 5).await;
    let with_two_forgetful = cluster.submit(1, &job).await.unwrap();

    assert_eq!(first.outcome, "complete");
    assert_eq!(with_one_left.outcome, "unknown");
    assert_eq!(with_two_forgetful.outcome, "unknown");
    assert_eq!(with_two_forgetful.error_code(), Some("no_quorum"));
    assert_eq!(cluster.count_starts(), 5);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_loss_after_the_repair_of_the_first_loses_nothing() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("repaired", 5, 30);
    let group = cluster.group_of(&job);

    let first = cluster.submit(0, &job).await.unwrap();
    cluster.kill_guard(group[0]);
    cluster.start_guard(group[0]);
    cluster.wait_ready().await;
    cluster.kill_guard(group[1]);
    let again = cluster.submit(1, &job).await.unwrap();

    assert_eq!(first.outcome, "complete");
    // The claim is known; what remains of the answer depends on where the tasks ran.
    assert!(["complete", "failed"].contains(&again.outcome.as_str()));
    assert_eq!(cluster.count_starts(), 5);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_that_lost_its_majority_serves_again_after_the_retention() {
    let shape = Shape {
        guards: 3,
        cell: json!({ "retention_ms": 1_000, "answer_retention_ms": 1_000 }),
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let old = TestJob::new("old", 2, 20);

    let first = cluster.submit(0, &old).await.unwrap();
    cluster.kill_guard(0);
    cluster.kill_guard(1);
    cluster.start_guard(0);
    cluster.start_guard(1);
    cluster.wait_ready().await;
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
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeatable_job_survives_the_death_of_a_guard() {
    let cluster = Cluster::start(Shape::default()).await;
    // As many tasks as there are slots, so that every guard has some.
    let mut job = TestJob::new("repeatable", 40, 800);
    job.repeat = Some("allowed");

    let group = cluster.group_of(&job);
    let victim = (0..5).find(|index| !group.contains(index)).unwrap();
    let disturb = || {
        cluster.signal_guard(victim, rustix::process::Signal::KILL);
    };
    let answer = cluster.submit_disturbed(&job, 40, disturb).await;

    assert_eq!(answer.outcome, "complete");
    assert!(
        cluster.count_starts() > 40,
        "tasks of the dead guard ran again"
    );
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_without_a_key_is_not_called_not_run_after_its_coordinator_was_lost() {
    let shape = Shape {
        guards: 3,
        ..Shape::default()
    };
    let cluster = Cluster::start(shape).await;
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
        () = cluster.wait_starts(20) => {}
    }
    cluster.signal_guard(0, rustix::process::Signal::KILL);
    cluster.signal_guard(1, rustix::process::Signal::KILL);
    let outcomes = all.await;

    assert!(outcomes.iter().any(|outcome| outcome == "unknown"));
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_lead_killed_and_restarted_under_load_leads_again() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let lead = 0;
    let serve = async |cluster: &Cluster, phase: &str| {
        for number in 0..20 {
            let job = TestJob::new(&format!("{phase}-{number}"), 2, 10);
            let answer = cluster.submit(number % 2, &job).await.unwrap();
            assert_eq!(answer.outcome, "complete", "{phase} {number}");
        }
    };

    cluster.kill_guard(lead);
    for other in 1..5 {
        cluster.wait_members_live(other, 4).await;
    }
    serve(&cluster, "without").await;
    cluster.start_guard(lead);
    serve(&cluster, "recovering").await;
    cluster.wait_ready().await;
    let series = "cloverfold_jobs_total{outcome=\"complete\"}";
    serve(&cluster, "again").await;
    let led = cluster.read_guard_metric(lead, series).await;

    assert!(led > 0.0, "the restarted lead coordinates jobs");
    cluster.check_promises();
}
