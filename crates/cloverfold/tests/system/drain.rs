//! Planned stops.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::{Cluster, Shape, TestJob};

/// A target that starts to leave gets no new work after this.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_guard_cuts_nothing_and_soon_starts_nothing() {
    let mut cluster = Cluster::start(Shape::default()).await;
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
    let ended_well = cluster.wait_guard_end(victim).await;

    assert!(ended_well);
    let bound = signalled_at.unwrap() + LEAVING_BOUND;
    let starts = cluster.targets[victim].journal().list_starts();
    assert!(starts.iter().all(|start| start.started_at < bound));
    assert!(starts.iter().all(|start| start.ended_at.is_some()));
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_placed_before_the_lead_knows_of_a_stop_runs_elsewhere() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let (lead, victim) = (0, 4);
    let jobs: Vec<_> = (0..15)
        .map(|number| TestJob::new(&format!("late-{number}"), 2, 100))
        .collect();
    cluster.delay_between(lead, victim, Duration::from_millis(150));

    cluster.signal_guard(victim, Signal::TERM);
    let requests = jobs.iter().map(|job| cluster.submit(0, job));
    let answers = futures_util::future::join_all(requests).await;
    let ended_well = cluster.wait_guard_end(victim).await;

    assert!(ended_well);
    for answer in answers {
        let answer = answer.unwrap();
        assert_eq!(answer.outcome, "complete", "{answer:?}");
    }
    assert_eq!(cluster.targets[victim].journal().count_starts(), 0);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_guard_hands_back_what_it_has_not_started() {
    let shape = Shape {
        guards: 3,
        slots: 1,
        ..Shape::default()
    };
    let mut cluster = Cluster::start(shape).await;
    let job = TestJob::new("queued", 12, 300);

    let disturb = || {
        let group = cluster.group_of(&job);
        cluster.signal_guard(group[2], Signal::TERM);
    };
    let answer = cluster.submit_disturbed(&job, 3, disturb).await;
    let victim = cluster.group_of(&job)[2];
    let ended_well = cluster.wait_guard_end(victim).await;

    assert!(ended_well);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(cluster.targets[victim].journal().count_starts(), 1);
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_coordinator_answers_its_jobs_first() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("coordinated", 10, 700);
    let victim = cluster.group_of(&job)[0];

    let disturb = || cluster.signal_guard(victim, Signal::TERM);
    let answer = cluster.submit_disturbed(&job, 10, disturb).await;
    let ended_well = cluster.wait_guard_end(victim).await;

    assert!(ended_well);
    assert_eq!(answer.outcome, "complete");
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_answers_what_it_has() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("entered", 8, 700);

    let disturb = || cluster.signal_entry(0, Signal::TERM);
    let answer = cluster.submit_disturbed(&job, 8, disturb).await;
    let ended_well = cluster.wait_entry_end(0).await;

    assert!(ended_well);
    assert_eq!(answer.outcome, "complete");
    cluster.check_promises();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_lead_told_to_leave_ends_its_jobs_and_others_take_over() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let job = TestJob::new("led", 10, 700);
    let lead = cluster.group_of(&job)[0];

    let disturb = || {
        let told = cluster.run_operator(&["leave"], &[&(lead + 1).to_string()]);
        assert!(told.contains("is leaving"), "{told}");
    };
    let answer = cluster.submit_disturbed(&job, 10, disturb).await;
    let ended_well = cluster.wait_guard_end(lead).await;
    let later = cluster
        .submit(1, &TestJob::new("unled", 10, 30))
        .await
        .unwrap();
    let status = cluster.run_operator(&["status"], &[]);

    assert!(ended_well);
    assert_eq!(answer.outcome, "complete");
    assert_eq!(later.outcome, "complete");
    assert_eq!(status.matches(" whole ").count(), 4, "{status}");
    cluster.check_promises();
}
