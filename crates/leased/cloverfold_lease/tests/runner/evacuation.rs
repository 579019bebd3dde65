//! An evacuated data hall: nothing starts, started runs are not interrupted, and waiting runs are refused.

use cloverfold_lease::{
    EndCause, RunOutcome, RunRefusal, Runner, RunnerAction, RunnerMessage, StartAnswer,
    StartRefusal, UnavailableReason,
};

use crate::fixture::{
    SESSION, assign, at, ends, list, listed_run, ready, renew, start_run, stops, take_ends,
    take_starts,
};

const REFUSED: RunOutcome = RunOutcome::NotStarted(RunRefusal::Evacuated);

/// Returns for each message about the target to [`SESSION`] whether it offers one.
fn offers(actions: &[RunnerAction]) -> Vec<bool> {
    let offers = actions.iter().filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Target(target)) => Some(target.is_some()),
        _ => None,
    });
    offers.collect()
}

fn evacuated() -> Runner {
    let mut runner = ready();
    runner.set_evacuated(true, at(110));
    runner.take_actions();
    runner
}

#[test]
fn evacuation_withdraws_the_target_and_refuses_assignments_in_flight() {
    let mut runner = ready();

    runner.set_evacuated(true, at(110));

    assert_eq!(offers(&runner.take_actions()), [false]);
    assert_eq!(
        runner.find_unavailable_reason(),
        Some(UnavailableReason::Evacuated)
    );
    runner.receive(SESSION, assign(1, at(400)), at(111));
    let actions = runner.take_actions();
    assert_eq!(ends(&actions), [(1, REFUSED)]);
    assert_eq!(take_starts(&mut runner), []);
}

#[test]
fn waiting_runs_are_refused_at_once() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(101));
    start_run(&mut runner, 2, at(101));
    runner.receive(SESSION, assign(3, at(400)), at(102));
    runner.take_actions();

    runner.set_evacuated(true, at(110));

    assert_eq!(take_ends(&mut runner), [(3, REFUSED)]);
}

#[test]
fn started_runs_finish_normally() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(101));

    runner.set_evacuated(true, at(110));
    runner.tick(at(120));
    renew(
        &mut runner,
        at(130),
        list(50_040, vec![listed_run(1, None)], &[]),
    );

    assert_eq!(stops(&runner.take_actions()), []);
    let done = list(50_900, vec![], &[(1, 1, EndCause::Done)]);
    renew(&mut runner, at(140), done);
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Done)]);
}

#[test]
fn an_unanswered_start_is_retried_with_the_same_deadline() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(101));
    let first = take_starts(&mut runner).remove(0);

    runner.set_evacuated(true, at(110));
    runner.receive_start_answer(&first, StartAnswer::Unanswered, at(120));

    let second = take_starts(&mut runner).remove(0);
    assert_eq!((second.run, second.deadline), (first.run, first.deadline));
}

#[test]
fn a_refused_start_is_not_replaced_by_one_with_a_later_deadline() {
    for refusal in [StartRefusal::Late, StartRefusal::Fenced] {
        let mut runner = ready();
        runner.receive(SESSION, assign(1, at(600)), at(101));
        let first = take_starts(&mut runner).remove(0);
        runner.set_evacuated(true, at(110));
        runner.take_actions();

        let refused = StartAnswer::Refused(refusal, Some(50_020));
        runner.receive_start_answer(&first, refused, at(112));

        let actions = runner.take_actions();
        assert_eq!(ends(&actions), [(1, REFUSED)], "{refusal:?}");
        let is_start = |action: &RunnerAction| matches!(action, RunnerAction::Start(_));
        assert!(!actions.iter().any(is_start), "{refusal:?}");
    }
}

#[test]
fn a_session_that_opens_during_an_evacuation_gets_no_target() {
    let mut runner = evacuated();
    runner.close_session(SESSION, at(120));

    runner.open_session(SESSION, at(130));

    assert_eq!(offers(&runner.take_actions()), [false]);
}

#[test]
fn the_target_is_offered_again_after_the_evacuation() {
    let mut runner = evacuated();

    runner.set_evacuated(false, at(120));

    assert_eq!(offers(&runner.take_actions()), [true]);
    runner.receive(SESSION, assign(1, at(500)), at(130));
    assert_eq!(take_starts(&mut runner).len(), 1);
}

#[test]
fn an_older_dispatcher_gets_draining_instead_of_evacuated() {
    let mut runner = evacuated();
    runner.receive(SESSION, assign(1, at(400)), at(120));
    let actions = runner.take_actions().into_iter();

    let readable = actions.map(|action| match action {
        RunnerAction::Send(session, message) => {
            RunnerAction::Send(session, message.without_evacuated())
        }
        other => other,
    });

    let draining = RunOutcome::NotStarted(RunRefusal::Draining);
    assert_eq!(ends(&readable.collect::<Vec<_>>()), [(1, draining)]);
}
