//! Which targets are paused, and which runs are withdrawn since they take too long.

use cloverfold_lease::{
    DispatcherAction, DispatcherEvent, DispatcherMessage, JobRequest, RunOutcome,
};

use crate::fixture::{CAPACITY, FULL, Fixture, job, long_step, ms, one_task_job};

#[test]
fn a_target_that_fails_run_after_run_gets_a_pause() {
    let mut fixture = Fixture::new(1);
    for number in 0..4 {
        fixture.submit(JobRequest {
            max_attempts: 1,
            ..one_task_job(&format!("{number}"))
        });
        if let Some(run) = fixture.assigned().pop() {
            fixture.end(&run, RunOutcome::Failed);
        }
        fixture.dispatcher.take_actions();
    }
    assert_eq!(fixture.dispatcher.counts().pauses, 1);
    assert_eq!(fixture.dispatcher.count_ready_targets(fixture.now), 0);
}

#[test]
fn a_hung_run_is_withdrawn() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("hung"));
    fixture.assigned();
    fixture.pass(420, &[1]);
    let withdrawn = fixture.dispatcher.take_actions().into_iter().any(|action| {
        matches!(
            action,
            DispatcherAction::Send(1, DispatcherMessage::Withdraw { .. })
        )
    });
    assert!(withdrawn);
}

#[test]
fn a_run_that_advances_is_not_withdrawn_for_its_wrong_estimate() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("long"));
    fixture.assigned();

    for _ in 0..30 {
        fixture.now += ms(20);
        fixture.report(1, FULL, 1_000);
        fixture.dispatcher.tick(fixture.now);
    }

    assert!(fixture.withdrawn().is_empty(), "six times its estimate");
    assert_eq!(fixture.dispatcher.counts().overdue, 0);
}

#[test]
fn a_long_run_at_a_slow_target_begins_anew_where_it_ends_sooner() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job("a", vec![long_step()]));
    let (slow, _) = fixture.assigned().remove(0);
    let fast = 3 - slow;
    fixture.now += ms(100);

    fixture.report(slow, FULL, 5_000);
    fixture.report(fast, FULL, 1_000);
    fixture.dispatcher.tick(fixture.now);
    assert!(fixture.withdrawn().is_empty(), "nowhere is it sooner");
    fixture.report(fast, CAPACITY, 1_000);
    fixture.dispatcher.tick(fixture.now);

    let actions = fixture.dispatcher.take_actions();
    let moved = |action: &DispatcherAction| {
        matches!(
            action,
            DispatcherAction::Report(DispatcherEvent::StragglerWithdrawn {
                slowness_permille: 5_000,
                ..
            })
        )
    };
    assert!(actions.iter().any(moved), "operators are told why");
    let withdrawn = |action: &DispatcherAction| matches!(action, DispatcherAction::Send(session, DispatcherMessage::Withdraw { .. }) if *session == slow);
    assert_eq!(actions.iter().filter(|action| withdrawn(action)).count(), 1);
    assert_eq!(fixture.dispatcher.counts().withdrawn_stragglers, 1);
}

#[test]
fn a_run_at_a_slow_target_that_is_nearly_over_stays_there() {
    let mut fixture = Fixture::new(2);
    fixture.submit(one_task_job("a"));
    let (slow, assignment) = fixture.assigned().remove(0);
    let estimate = u64::from(assignment.estimate_ms);
    fixture.now += ms(estimate * 2);

    fixture.report(slow, CAPACITY, 3_000);
    fixture.dispatcher.tick(fixture.now);

    assert!(fixture.withdrawn().is_empty());
}
