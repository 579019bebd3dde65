//! Pauses of targets and withdrawals of runs that take too long.

use cloverfold_lease::{
    DispatcherAction, DispatcherEvent, DispatcherMessage, JobRequest, RunOutcome,
};

use crate::fixture::{CAPACITY, Fixture, NO_FREE_CPU, job, long_step, ms, one_task_job};

#[test]
fn consecutive_failures_pause_a_target() {
    let mut fixture = Fixture::new(1);
    for number in 0..4 {
        fixture.submit(JobRequest {
            max_attempts: 1,
            ..one_task_job(&format!("{number}"))
        });
        if let Some(run) = fixture.take_assignments().pop() {
            fixture.report_end(&run, RunOutcome::Failed);
        }
        fixture.dispatcher.take_actions();
    }
    assert_eq!(fixture.dispatcher.counts().pauses, 1);
    assert_eq!(fixture.dispatcher.count_ready_targets(fixture.now), 0);
}

#[test]
fn an_overdue_run_is_withdrawn() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("hung"));
    fixture.take_assignments();
    fixture.advance(420, &[1]);
    let withdrawn = fixture.dispatcher.take_actions().into_iter().any(|action| {
        matches!(
            action,
            DispatcherAction::Send(1, DispatcherMessage::Withdraw { .. })
        )
    });
    assert!(withdrawn);
}

#[test]
fn a_run_that_advances_is_not_withdrawn_because_of_a_wrong_estimate() {
    let mut fixture = Fixture::new(1);
    fixture.submit(one_task_job("long"));
    fixture.take_assignments();

    for _ in 0..30 {
        fixture.now += ms(20);
        fixture.report_free_capacity(1, NO_FREE_CPU, 1_000);
        fixture.dispatcher.tick(fixture.now);
    }

    assert!(
        fixture.take_withdrawals().is_empty(),
        "six times its estimate"
    );
    assert_eq!(fixture.dispatcher.counts().overdue, 0);
}

#[test]
fn a_straggler_is_withdrawn_once_a_faster_target_has_capacity() {
    let mut fixture = Fixture::new(2);
    fixture.submit(job("a", vec![long_step()]));
    let (slow, _) = fixture.take_assignments().remove(0);
    let fast = 3 - slow;
    fixture.now += ms(100);

    fixture.report_free_capacity(slow, NO_FREE_CPU, 5_000);
    fixture.report_free_capacity(fast, NO_FREE_CPU, 1_000);
    fixture.dispatcher.tick(fixture.now);
    assert!(
        fixture.take_withdrawals().is_empty(),
        "no other target has capacity"
    );
    fixture.report_free_capacity(fast, CAPACITY, 1_000);
    fixture.dispatcher.tick(fixture.now);

    let actions = fixture.dispatcher.take_actions();
    let is_reported = |action: &DispatcherAction| {
        matches!(
            action,
            DispatcherAction::Report(DispatcherEvent::StragglerWithdrawn {
                slowness_permille: 5_000,
                ..
            })
        )
    };
    assert!(
        actions.iter().any(is_reported),
        "the withdrawal is reported"
    );
    let withdrawn = |action: &DispatcherAction| matches!(action, DispatcherAction::Send(session, DispatcherMessage::Withdraw { .. }) if *session == slow);
    assert_eq!(actions.iter().filter(|action| withdrawn(action)).count(), 1);
    assert_eq!(fixture.dispatcher.counts().withdrawn_stragglers, 1);
}

#[test]
fn a_nearly_completed_run_on_a_slow_target_is_not_withdrawn() {
    let mut fixture = Fixture::new(2);
    fixture.submit(one_task_job("a"));
    let (slow, assignment) = fixture.take_assignments().remove(0);
    let estimate = u64::from(assignment.estimate_ms);
    fixture.now += ms(estimate * 2);

    fixture.report_free_capacity(slow, CAPACITY, 3_000);
    fixture.dispatcher.tick(fixture.now);

    assert!(fixture.take_withdrawals().is_empty());
}
