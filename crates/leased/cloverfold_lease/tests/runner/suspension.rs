//! A suspension of the box: what the runner believes of its target's clock afterwards, and what ends.

use cloverfold_lease::RunnerAction;

use crate::fixture::{
    SESSION, assign, at, ends, list, ms, ready, renew, row, started, stops, take_starts,
};

const SUSPENDED_MS: u64 = 3_000;

#[test]
fn a_lease_is_no_longer_for_the_time_of_a_suspension() {
    let mut awake = ready();
    let mut suspended = ready();

    suspended.allow_for_suspension(ms(SUSPENDED_MS));

    let order = suspended.plan_renewal(at(110 + SUSPENDED_MS)).unwrap();
    let expected = awake.plan_renewal(at(110)).unwrap();
    assert!(expected.deadline.is_some());
    assert_eq!(order.deadline, expected.deadline);
}

#[test]
fn a_lease_has_not_lapsed_by_the_time_of_a_suspension_alone() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    let woken = 120 + SUSPENDED_MS;

    runner.allow_for_suspension(ms(SUSPENDED_MS));
    runner.tick(at(woken));
    let right_after = runner.run_count();
    runner.tick(at(woken + 1_000));

    assert_eq!(
        right_after, 1,
        "the target may have been suspended as well and run it still"
    );
    assert_eq!(runner.run_count(), 0);
}

#[test]
fn nothing_that_was_assigned_before_a_suspension_starts_after_it() {
    let mut runner = ready();
    let woken = 120 + SUSPENDED_MS;
    runner.allow_for_suspension(ms(SUSPENDED_MS));

    runner.receive(SESSION, assign(1, at(500)), at(woken));

    assert!(take_starts(&mut runner).is_empty());
}

#[test]
fn what_runs_is_stopped_after_a_suspension_that_outlives_the_session() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    runner.allow_for_suspension(ms(SUSPENDED_MS));

    runner.tick(at(120 + SUSPENDED_MS));

    let actions = runner.take_actions();
    assert_eq!(stops(&actions), [1]);
    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
    assert_eq!(
        ends(&actions),
        [],
        "its dispatcher counts it as over by time"
    );
}

#[test]
fn an_answer_from_before_a_suspension_makes_no_later_lease_too_long() {
    let mut runner = ready();
    let order = runner.plan_renewal(at(110)).unwrap();
    runner.allow_for_suspension(ms(SUSPENDED_MS));
    let woken = 120 + SUSPENDED_MS;

    // It lay in the socket while the box was suspended.
    runner.receive_renewal_answer(&order, list(50_020, vec![], &[]), at(woken));

    let next = runner.plan_renewal(at(woken + 10)).unwrap();
    assert_eq!(next.deadline, Some(50_020 + 10 + 650));
}

#[test]
fn a_target_that_was_not_suspended_is_known_again_with_its_next_answer() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    runner.allow_for_suspension(ms(SUSPENDED_MS));
    let woken = 120 + SUSPENDED_MS;
    let truth = 50_000 + woken;

    renew(&mut runner, at(woken), list(truth, vec![row(1, None)], &[]));

    let next = runner.plan_renewal(at(woken + 11)).unwrap();
    assert_eq!(next.deadline, Some(truth + 10 + 650));
}
