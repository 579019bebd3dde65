//! Runs that nobody wants any more end: those of a cancelled job that the target started late, and those whose starter is gone.

use cloverfold_lease::{RunnerAction, StartAnswer, TargetRegistration};

use crate::fixture::{
    SESSION, assign, at, list, ready, registered, registration, renew, row, started, stops,
    take_starts,
};

fn withdraw(index: u32) -> cloverfold_lease::DispatcherMessage {
    cloverfold_lease::DispatcherMessage::Withdraw {
        task: crate::fixture::task(index),
        run: crate::fixture::RUN,
    }
}

fn without_clock() -> TargetRegistration {
    TargetRegistration {
        clock: None,
        ..registration(1)
    }
}

#[test]
fn a_start_that_is_carried_out_after_the_run_was_withdrawn_is_stopped_again_until_it_is_gone() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let start = take_starts(&mut runner).remove(0);
    runner.receive(SESSION, withdraw(1), at(115));
    assert_eq!(stops(&runner.take_actions()), [1]);

    runner.receive_start_answer(&start, StartAnswer::Unanswered, at(130));
    renew(&mut runner, at(300), list(50_200, vec![row(1, None)], &[]));
    runner.tick(at(310));

    let actions = runner.take_actions();
    assert_eq!(stops(&actions), [1]);
    let is_start = |action: &RunnerAction| matches!(action, RunnerAction::Start(_));
    assert!(
        !actions.iter().any(is_start),
        "a withdrawn run is not started again"
    );
}

#[test]
fn a_run_that_a_restarted_guard_finds_is_stopped_with_each_list_and_its_lease_not_extended() {
    let mut runner = registered(without_clock(), at(90));

    for asked_at in [100, 200, 300] {
        renew(
            &mut runner,
            at(asked_at),
            list(50_000 + asked_at, vec![row(9, None)], &[]),
        );

        assert_eq!(stops(&runner.take_actions()), [9]);
        let next = runner.plan_renewal(at(asked_at + 10)).unwrap();
        assert_eq!(
            next.deadline, None,
            "the lease of what it may run must lapse"
        );
    }
}

#[test]
fn the_runs_of_an_entry_that_is_gone_for_good_are_stopped_with_its_session() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    runner.take_actions();

    runner.tick(at(601));

    assert_eq!(stops(&runner.take_actions()), [1]);
}
