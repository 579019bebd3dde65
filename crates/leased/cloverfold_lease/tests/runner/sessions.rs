//! Sessions: their expiry, what ends with them, and what is reported to them.

use cloverfold_lease::{EndCause, Runner, RunnerAction, RunnerMessage};

use crate::fixture::{
    SESSION, assign, at, echo, list, ready, renew, start_run, stops, take_starts,
};

#[test]
fn a_session_without_echoes_expires_and_its_runs_are_stopped() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.receive(SESSION, echo(at(200)), at(210));
    runner.tick(at(699));
    let before = runner.take_actions();
    assert_eq!(stops(&before), []);

    runner.tick(at(701));

    let actions = runner.take_actions();
    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
    assert_eq!(stops(&actions), [1]);
}

#[test]
fn an_echo_from_the_future_does_not_extend_a_session_beyond_its_timeout() {
    let mut runner = ready();
    runner.receive(SESSION, echo(at(900_000)), at(110));

    runner.tick(at(612));

    assert!(
        runner
            .take_actions()
            .contains(&RunnerAction::CloseSession(SESSION))
    );
}

#[test]
fn the_target_is_announced_to_a_new_session_only_after_earlier_runs_have_ended() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.close_session(SESSION, at(120));
    runner.take_actions();
    runner.open_session(8, at(130));
    let offers = |runner: &mut Runner| {
        let actions = runner.take_actions().into_iter();
        let offered = |action: &RunnerAction| {
            matches!(
                action,
                RunnerAction::Send(8, RunnerMessage::Target(Some(_)))
            )
        };
        actions.filter(offered).count()
    };
    assert_eq!(offers(&mut runner), 0);

    renew(
        &mut runner,
        at(140),
        list(50_050, vec![], &[(1, 1, EndCause::Stopped)]),
    );

    assert_eq!(offers(&mut runner), 1);
}

#[test]
fn changed_free_capacity_is_reported_once_to_every_session() {
    let mut runner = ready();
    runner.open_session(8, at(100));
    runner.tick(at(101));
    runner.take_actions();
    start_run(&mut runner, 1, at(110));
    let reported_sessions = |runner: &mut Runner| -> Vec<u64> {
        let actions = runner.take_actions().into_iter();
        let reported_sessions = actions.filter_map(|action| match action {
            RunnerAction::Send(session, RunnerMessage::FreeCapacity(_)) => Some(session),
            _ => None,
        });
        reported_sessions.collect()
    };

    runner.tick(at(120));

    assert_eq!(reported_sessions(&mut runner), [SESSION, 8]);
    runner.tick(at(130));
    assert_eq!(reported_sessions(&mut runner), []);
}

/// Takes the runner's actions and returns for each message about the target to [`SESSION`] whether it offers one.
fn take_offers(runner: &mut Runner) -> Vec<bool> {
    let actions = runner.take_actions().into_iter();
    let offers = actions.filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Target(target)) => Some(target.is_some()),
        _ => None,
    });
    offers.collect()
}

#[test]
fn a_retired_session_gets_no_target_and_keeps_its_runs() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));

    runner.retire_session(SESSION, true);

    assert_eq!(take_offers(&mut runner), [false]);
    assert_eq!(runner.count_session_runs(SESSION), 1);
    runner.receive(SESSION, assign(2, at(500)), at(112));
    assert_eq!(
        take_starts(&mut runner).len(),
        1,
        "the assignment was in flight"
    );
    let ended = [(1, 1, EndCause::Done), (2, 2, EndCause::Done)];
    renew(&mut runner, at(140), list(50_050, vec![], &ended));
    assert_eq!(runner.count_session_runs(SESSION), 0);
}

#[test]
fn a_session_that_is_no_longer_retired_gets_the_target_again() {
    let mut runner = ready();
    runner.retire_session(SESSION, true);
    runner.take_actions();

    runner.retire_session(SESSION, false);

    assert_eq!(take_offers(&mut runner), [true]);
}

#[test]
fn other_sessions_get_the_target_while_one_is_retired() {
    let mut runner = ready();
    runner.retire_session(SESSION, true);
    runner.take_actions();

    runner.open_session(8, at(120));

    let actions = runner.take_actions();
    let is_offer = |action: &RunnerAction| {
        matches!(
            action,
            RunnerAction::Send(8, RunnerMessage::Target(Some(_)))
        )
    };
    assert!(actions.iter().any(is_offer));
}
