//! Which target a waiting task goes to.

use cloverfold_lease::{JobRequest, Resources, SessionId, StepRequest};

use crate::fixture::{CAPACITY, FULL, Fixture, job, one_task_job, step};

#[test]
fn what_comes_first_by_priority_is_placed_first() {
    let mut fixture = Fixture::new(1);
    fixture.heartbeat(1, FULL, 0);
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

    let assigned = fixture.assigned();
    assert_eq!(assigned.len(), 1);
    assert_eq!(assigned[0].1.task.job, "urgent");
}

#[test]
fn targets_are_filled_evenly_and_never_beyond_what_was_reported() {
    let mut fixture = Fixture::new(3);
    fixture.submit(job("a", vec![step(20, vec![])]));

    let assigned = fixture.assigned();

    for session in 1..=3 {
        let there = assigned
            .iter()
            .filter(|(assigned_to, _)| *assigned_to == session)
            .count();
        assert_eq!(there, 4, "8,000 thousandths take four tasks of 2,000");
    }
}

#[test]
fn a_task_goes_only_where_its_required_label_is() {
    let mut fixture = Fixture::new(2);
    fixture.offer(2, &["b"]);
    let labelled = StepRequest {
        required_label: Some("b".into()),
        ..step(2, vec![])
    };
    fixture.submit(job("labelled", vec![labelled]));
    assert!(fixture.assigned().iter().all(|(session, _)| *session == 2));
}

#[test]
fn a_step_is_spread_over_targets() {
    let mut fixture = Fixture::new(2);
    let spread = StepRequest {
        max_per_target: Some(1),
        ..step(3, vec![])
    };
    fixture.submit(job("spread", vec![spread]));
    let mut places: Vec<SessionId> = fixture
        .assigned()
        .iter()
        .map(|(session, _)| *session)
        .collect();
    places.sort_unstable();
    assert_eq!(places, [1, 2]);
}

#[test]
fn a_slow_target_is_used_only_when_no_other_has_room() {
    let mut fixture = Fixture::new(2);
    fixture.report(1, CAPACITY, 2_500);
    fixture.report(2, CAPACITY, 900);

    fixture.submit(one_task_job("a"));

    assert_eq!(fixture.assigned()[0].0, 2);
}

#[test]
fn a_job_that_begins_without_all_its_tasks_is_counted_once() {
    let mut fixture = Fixture::new(1);

    fixture.submit(job("wide", vec![step(6, vec![])]));
    fixture.pass(40, &[1]);

    assert_eq!(fixture.dispatcher.counts().partially_started, 1);
}

#[test]
fn a_job_that_begins_whole_or_not_at_all_is_not_counted_as_begun_in_part() {
    let mut fixture = Fixture::new(1);

    fixture.submit(job("whole", vec![step(4, vec![])]));
    fixture.submit(job("waiting", vec![step(4, vec![])]));

    assert_eq!(fixture.dispatcher.counts().partially_started, 0);
}
