//! Reports of started runs to the dispatchers that assigned them.

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    EndCause, RunOutcome, Runner, RunnerAction, RunnerMessage, StartAnswer, StartRefusal,
};

use crate::fixture::{
    SESSION, assign, at, list, listed_run, ms, ready, renew, start_run, take_ends, take_starts,
};

/// Returns the tasks whose start is reported with the next heartbeat after `now`.
fn reported_starts(runner: &mut Runner, now: Timestamp) -> Vec<u32> {
    runner.take_actions();
    runner.tick(now + ms(130));
    let reports = runner.take_actions().into_iter();
    let reports = reports.filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Started(runs)) => Some(runs),
        _ => None,
    });
    reports.flatten().map(|run| run.task.index).collect()
}

/// Guards against starts that are never reported, or reported with every heartbeat.
#[test]
fn a_confirmed_start_is_reported_once() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));

    let first = reported_starts(&mut runner, at(110));
    let second = reported_starts(&mut runner, at(300));

    assert_eq!(first, [1]);
    assert!(second.is_empty());
}

/// Guards against a start that is reported when it is only sent, and may still be refused.
#[test]
fn a_start_without_an_answer_is_not_reported() {
    let mut runner = ready();

    runner.receive(SESSION, assign(1, at(600)), at(110));

    assert!(reported_starts(&mut runner, at(110)).is_empty());
}

/// Guards against a start that is reported although the target has refused it.
#[test]
fn a_refused_start_is_not_reported() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let order = take_starts(&mut runner).remove(0);

    let refused = StartAnswer::Refused(StartRefusal::Unhealthy, None);
    runner.receive_start_answer(&order, refused, at(112));
    let ends = take_ends(&mut runner);

    assert!(matches!(ends[..], [(1, RunOutcome::NotStarted(_))]));
    assert!(reported_starts(&mut runner, at(113)).is_empty());
}

/// Guards against starts whose answer was lost: the target's list confirms them too.
#[test]
fn a_listed_run_is_reported() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    take_starts(&mut runner);

    renew(
        &mut runner,
        at(120),
        list(50_030, vec![listed_run(1, None)], &[]),
    );

    assert_eq!(reported_starts(&mut runner, at(121)), [1]);
}

/// Guards against reports of runs that have ended, which their end reports already.
#[test]
fn an_ended_run_is_not_reported() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));

    renew(
        &mut runner,
        at(120),
        list(50_030, vec![], &[(1, 1, EndCause::Done)]),
    );

    assert!(reported_starts(&mut runner, at(121)).is_empty());
}
