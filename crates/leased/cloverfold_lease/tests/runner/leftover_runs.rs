//! Unwanted runs must end: late starts of withdrawn runs, orphans of an earlier process, and runs of an expired session.

use cloverfold_lease::{RunnerAction, StartAnswer, TargetRegistration};

use crate::fixture::{
    SESSION, assign, at, list, listed_run, ready, registered, registration, renew, start_run,
    stops, take_starts,
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
fn a_start_executed_after_withdrawal_is_stopped_again_until_it_is_gone() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let start = take_starts(&mut runner).remove(0);
    runner.receive(SESSION, withdraw(1), at(115));
    assert_eq!(stops(&runner.take_actions()), [1]);

    runner.receive_start_answer(&start, StartAnswer::Unanswered, at(130));
    renew(
        &mut runner,
        at(300),
        list(50_200, vec![listed_run(1, None)], &[]),
    );
    runner.tick(at(310));

    let actions = runner.take_actions();
    assert_eq!(stops(&actions), [1]);
    let is_start = |action: &RunnerAction| matches!(action, RunnerAction::Start(_));
    assert!(
        !actions.iter().any(is_start),
        "a withdrawn run must not be restarted"
    );
}

#[test]
fn an_orphan_found_after_a_restart_is_stopped_with_each_list_and_its_lease_not_extended() {
    let mut runner = registered(without_clock(), at(90));

    for sent_at in [100, 200, 300] {
        renew(
            &mut runner,
            at(sent_at),
            list(50_000 + sent_at, vec![listed_run(9, None)], &[]),
        );

        assert_eq!(stops(&runner.take_actions()), [9]);
        let next = runner.plan_renewal(at(sent_at + 10)).unwrap();
        assert_eq!(next.deadline, None, "the lease of an orphan must lapse");
    }
}

#[test]
fn runs_are_stopped_when_their_session_expires() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.take_actions();

    runner.tick(at(601));

    assert_eq!(stops(&runner.take_actions()), [1]);
}
