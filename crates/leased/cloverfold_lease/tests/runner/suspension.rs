//! Suspension of the box: a lease must be neither extended too far nor count as lapsed too early.

use cloverfold_lease::RunnerAction;

use crate::fixture::{
    SESSION, assign, at, ends, list, listed_run, ms, ready, renew, start_run, stops, take_starts,
};

const SUSPENDED_MS: u64 = 3_000;

#[test]
fn a_suspension_does_not_lengthen_a_lease() {
    let mut running = ready();
    let mut suspended = ready();

    suspended.allow_for_suspension(ms(SUSPENDED_MS));

    let order = suspended.plan_renewal(at(110 + SUSPENDED_MS)).unwrap();
    let expected = running.plan_renewal(at(110)).unwrap();
    assert!(expected.deadline.is_some());
    assert_eq!(order.deadline, expected.deadline);
}

#[test]
fn a_suspension_alone_does_not_count_as_a_lapse() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    let resumed_ms = 120 + SUSPENDED_MS;

    runner.allow_for_suspension(ms(SUSPENDED_MS));
    runner.tick(at(resumed_ms));
    let right_after = runner.run_count();
    runner.tick(at(resumed_ms + 1_000));

    assert_eq!(
        right_after, 1,
        "the target may have been suspended too and may still execute the run"
    );
    assert_eq!(runner.run_count(), 0);
}

#[test]
fn an_assignment_from_before_a_suspension_does_not_start() {
    let mut runner = ready();
    let resumed_ms = 120 + SUSPENDED_MS;
    runner.allow_for_suspension(ms(SUSPENDED_MS));

    runner.receive(SESSION, assign(1, at(500)), at(resumed_ms));

    assert!(take_starts(&mut runner).is_empty());
}

#[test]
fn runs_are_stopped_after_a_suspension_longer_than_the_session() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.allow_for_suspension(ms(SUSPENDED_MS));

    runner.tick(at(120 + SUSPENDED_MS));

    let actions = runner.take_actions();
    assert_eq!(stops(&actions), [1]);
    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
    assert_eq!(
        ends(&actions),
        [],
        "the dispatcher already counts it as over"
    );
}

#[test]
fn an_answer_from_before_a_suspension_does_not_lengthen_later_leases() {
    let mut runner = ready();
    let order = runner.plan_renewal(at(110)).unwrap();
    runner.allow_for_suspension(ms(SUSPENDED_MS));
    let resumed_ms = 120 + SUSPENDED_MS;

    // The answer was in the socket buffer while the box was suspended.
    runner.receive_renewal_answer(&order, list(50_020, vec![], &[]), at(resumed_ms));

    let next = runner.plan_renewal(at(resumed_ms + 10)).unwrap();
    assert_eq!(next.deadline, Some(50_020 + 10 + 650));
}

#[test]
fn the_next_answer_corrects_the_clock_of_a_target_that_was_not_suspended() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.allow_for_suspension(ms(SUSPENDED_MS));
    let resumed_ms = 120 + SUSPENDED_MS;
    let target_clock = 50_000 + resumed_ms;

    renew(
        &mut runner,
        at(resumed_ms),
        list(target_clock, vec![listed_run(1, None)], &[]),
    );

    let next = runner.plan_renewal(at(resumed_ms + 11)).unwrap();
    assert_eq!(next.deadline, Some(target_clock + 10 + 650));
}
