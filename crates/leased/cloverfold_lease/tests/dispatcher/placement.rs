//! The choice of targets for waiting tasks.

use cloverfold_lease::{JobRequest, Resources, SessionId, StepRequest};

use crate::fixture::{CAPACITY, Fixture, NO_FREE_CPU, job, one_task_job, step};

#[test]
fn the_most_urgent_job_is_placed_first() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, NO_FREE_CPU, 0);
    fixture.submit(one_task_job("late"));
    fixture.submit(JobRequest {
        priority: 0,
        ..one_task_job("urgent")
    });
    fixture.dispatcher.take_actions();

    fixture.heartbeat(
        1,
        Resources {
            cpu_milli: 2_000,
            ..CAPACITY
        },
        0,
    );

    let assigned = fixture.take_assignments();
    assert_eq!(assigned.len(), 1);
    assert_eq!(assigned[0].1.task.job, "urgent");
}

#[test]
fn targets_are_filled_evenly_and_not_beyond_their_free_capacity() {
    let mut fixture = Fixture::new(3);
    fixture.submit(job("a", vec![step(20, vec![])]));

    let assigned = fixture.take_assignments();

    for session in 1..=3 {
        let assigned_count = assigned
            .iter()
            .filter(|(assigned_to, _)| *assigned_to == session)
            .count();
        assert_eq!(
            assigned_count, 4,
            "a capacity of 8,000 holds four tasks of 2,000"
        );
    }
}

#[test]
fn a_task_is_assigned_only_to_targets_with_its_required_label() {
    let mut fixture = Fixture::new(2);
    fixture.announce_target(2, &["b"]);
    let labelled = StepRequest {
        required_label: Some("b".into()),
        ..step(2, vec![])
    };
    fixture.submit(job("labelled", vec![labelled]));
    assert!(
        fixture
            .take_assignments()
            .iter()
            .all(|(session, _)| *session == 2)
    );
}

#[test]
fn the_limit_per_target_spreads_a_step_across_targets() {
    let mut fixture = Fixture::new(2);
    let spread = StepRequest {
        max_per_target: Some(1),
        ..step(3, vec![])
    };
    fixture.submit(job("spread", vec![spread]));
    let mut sessions: Vec<SessionId> = fixture
        .take_assignments()
        .iter()
        .map(|(session, _)| *session)
        .collect();
    sessions.sort_unstable();
    assert_eq!(sessions, [1, 2]);
}

#[test]
fn a_slow_target_is_used_only_if_no_other_has_capacity() {
    let mut fixture = Fixture::new(2);
    fixture.report_free_capacity(1, CAPACITY, 2_500);
    fixture.report_free_capacity(2, CAPACITY, 900);

    fixture.submit(one_task_job("a"));

    assert_eq!(fixture.take_assignments()[0].0, 2);
}

#[test]
fn a_partially_started_job_is_counted_once() {
    let mut fixture = Fixture::new(1);

    fixture.submit(job("wide", vec![step(6, vec![])]));
    fixture.advance(40, &[1]);

    assert_eq!(fixture.dispatcher.counts().partially_started, 1);
}

#[test]
fn a_job_that_starts_completely_or_not_at_all_is_not_counted_as_partially_started() {
    let mut fixture = Fixture::new(1);

    fixture.submit(job("whole", vec![step(4, vec![])]));
    fixture.submit(job("waiting", vec![step(4, vec![])]));

    assert_eq!(fixture.dispatcher.counts().partially_started, 0);
}
