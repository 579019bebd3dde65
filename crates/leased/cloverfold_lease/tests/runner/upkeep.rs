//! A target that is held before upkeep: nothing starts, started runs are not interrupted, and the hold expires.

use std::time::Duration;

use cloverfold_lease::{
    EndCause, RunOutcome, RunRefusal, Runner, RunnerAction, RunnerMessage, StartAnswer,
    StartRefusal, UnavailableReason,
};

use crate::fixture::{
    SESSION, assign, at, ends, list, listed_run, ready, renew, start_run, stops, take_ends,
    take_starts,
};

const REFUSED: RunOutcome = RunOutcome::NotStarted(RunRefusal::Draining);
const HOLD_DURATION: Duration = Duration::from_millis(50);

/// Returns for each message about the target to [`SESSION`] whether it offers one.
fn offers(actions: &[RunnerAction]) -> Vec<bool> {
    let offers = actions.iter().filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Target(target)) => Some(target.is_some()),
        _ => None,
    });
    offers.collect()
}

fn hold(runner: &mut Runner, span: Duration) {
    let name = runner.target_incarnation_id().unwrap().name.clone();
    runner.hold_target(&name, span, at(110));
}

#[test]
fn a_held_target_is_not_offered_and_assignments_in_flight_are_refused() {
    let mut runner = ready();

    hold(&mut runner, HOLD_DURATION);

    assert_eq!(offers(&runner.take_actions()), [false]);
    let reason = runner.find_unavailable_reason();
    assert_eq!(reason, Some(UnavailableReason::Upkeep));
    runner.receive(SESSION, assign(1, at(400)), at(111));
    assert_eq!(ends(&runner.take_actions()), [(1, REFUSED)]);
    assert_eq!(take_starts(&mut runner), []);
}

#[test]
fn waiting_runs_are_refused_and_started_runs_finish_normally() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(101));
    start_run(&mut runner, 2, at(101));
    runner.receive(SESSION, assign(3, at(400)), at(102));
    runner.take_actions();

    hold(&mut runner, HOLD_DURATION);

    assert_eq!(take_ends(&mut runner), [(3, REFUSED)]);
    let running = vec![listed_run(1, None), listed_run(2, None)];
    renew(&mut runner, at(130), list(50_040, running, &[]));
    assert_eq!(stops(&runner.take_actions()), []);
    let ended = [(1, 1, EndCause::Done)];
    renew(
        &mut runner,
        at(140),
        list(50_050, vec![listed_run(2, None)], &ended),
    );
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Done)]);
}

#[test]
fn a_hold_expires_and_is_extended_by_the_next_request() {
    let mut runner = ready();
    hold(&mut runner, HOLD_DURATION);
    runner.take_actions();

    runner.tick(at(159));
    assert!(runner.is_target_held());
    let name = runner.target_incarnation_id().unwrap().name.clone();
    runner.hold_target(&name, HOLD_DURATION, at(159));
    runner.tick(at(208));
    assert!(runner.is_target_held());
    runner.tick(at(209));

    assert!(!runner.is_target_held());
    assert_eq!(offers(&runner.take_actions()), [true]);
}

#[test]
fn unreserved_capacity_is_the_whole_capacity_minus_all_runs() {
    let mut runner = ready();
    let capacity = runner.describe_target().unwrap().capacity;
    let empty = runner.unreserved_capacity(at(100)).unwrap();
    start_run(&mut runner, 1, at(101));

    hold(&mut runner, HOLD_DURATION);

    assert_eq!(empty.free, capacity);
    let held = runner.unreserved_capacity(at(120)).unwrap();
    assert!(held.free.cpu_milli < capacity.cpu_milli);
    renew(
        &mut runner,
        at(130),
        list(50_040, vec![], &[(1, 1, EndCause::Done)]),
    );
    assert_eq!(runner.unreserved_capacity(at(140)).unwrap().free, capacity);
}

#[test]
fn a_hold_of_zero_duration_ends_the_hold() {
    let mut runner = ready();
    hold(&mut runner, HOLD_DURATION);
    runner.take_actions();

    hold(&mut runner, Duration::ZERO);

    assert!(!runner.is_target_held());
    assert_eq!(offers(&runner.take_actions()), [true]);
}

#[test]
fn a_hold_for_another_incarnation_is_ignored() {
    let mut runner = ready();

    runner.hold_target("another", HOLD_DURATION, at(110));

    assert!(!runner.is_target_held());
    assert_eq!(offers(&runner.take_actions()), [] as [bool; 0]);
}

#[test]
fn a_start_that_was_refused_without_effect_is_not_replaced() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(101));
    let start = take_starts(&mut runner).remove(0);
    hold(&mut runner, HOLD_DURATION);
    runner.take_actions();

    let answer = StartAnswer::Refused(StartRefusal::Late, Some(50_020));
    runner.receive_start_answer(&start, answer, at(115));

    assert_eq!(take_ends(&mut runner), [(1, REFUSED)]);
    assert_eq!(take_starts(&mut runner), []);
}
