//! Stops: retries, and when the end of a stopped run is certain.

use cloverfold_lease::{DispatcherMessage, RunOutcome, RunRefusal, Runner};

use crate::fixture::{
    RUN, SESSION, assign, at, echo, list, ready, renew, start_run, stops, take_ends, take_starts,
    task,
};

fn withdraw(runner: &mut Runner, index: u32, now_ms: u64) {
    let message = DispatcherMessage::Withdraw {
        task: task(index),
        run: RUN,
    };
    runner.receive(SESSION, message, at(now_ms));
}

#[test]
fn a_stop_without_effect_is_retried_after_120_ms() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    withdraw(&mut runner, 1, 150);
    assert_eq!(stops(&runner.take_actions()), [1]);

    runner.tick(at(269));
    assert_eq!(stops(&runner.take_actions()), []);
    runner.tick(at(270));

    assert_eq!(stops(&runner.take_actions()), [1]);
}

#[test]
fn a_stopped_run_is_over_when_a_later_list_leaves_it_out() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    let before = runner.plan_renewal(at(140)).unwrap();
    withdraw(&mut runner, 1, 150);
    runner.take_actions();

    runner.receive_renewal_answer(&before, list(50_060, vec![], &[]), at(155));

    assert_eq!(
        take_ends(&mut runner),
        [],
        "the list may be older than the stop"
    );
    renew(&mut runner, at(160), list(50_070, vec![], &[]));
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Stopped)]);
}

#[test]
fn a_run_stopped_before_its_start_was_acknowledged_is_over_only_after_the_deadline() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let start = take_starts(&mut runner).remove(0);
    withdraw(&mut runner, 1, 120);
    runner.take_actions();

    renew(&mut runner, at(160), list(start.deadline, vec![], &[]));

    assert_eq!(take_ends(&mut runner), [], "the start may still arrive");
    runner.receive(SESSION, echo(at(165)), at(165));
    renew(&mut runner, at(170), list(start.deadline + 1, vec![], &[]));
    let withdrawn = RunOutcome::NotStarted(RunRefusal::Withdrawn);
    assert_eq!(take_ends(&mut runner), [(1, withdrawn)]);
}
