//! What a runner concludes after its own process was stalled.

use cloverfold_lease::{Runner, RunnerAction, RunnerMessage, UnavailableReason};

use crate::fixture::{
    SESSION, assign, at, echo, list, ms, ready, renew, row, started, stops, take_starts,
};

/// When the stalls of these tests end: its session is over since 200 ms, its heartbeat was echoed last at 200 ms.
const AWAKE_MS: u64 = 900;

/// A runner with a run whose process stood still from 210 ms on and has noticed it.
fn stalled() -> Runner {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    renew(&mut runner, at(200), list(50_100, vec![row(1, None)], &[]));
    runner.receive(SESSION, echo(at(200)), at(210));
    runner.take_actions();
    runner.allow_for_stall(ms(AWAKE_MS - 210), at(AWAKE_MS));
    runner
}

/// Returns whether a renewal that is planned now extends the target's lease.
fn extends_lease(runner: &mut Runner, now: u64) -> bool {
    let order = runner.plan_renewal(at(now)).unwrap();
    order.deadline.is_some()
}

// A target that was well got no work, since its guard had not read its answers.
#[test]
fn a_target_is_not_silent_for_the_time_of_a_stall() {
    let mut runner = ready();
    renew(&mut runner, at(200), list(50_100, vec![], &[]));

    runner.allow_for_stall(ms(300), at(501));
    runner.tick(at(501));
    let right_after = runner.find_unavailable_reason();
    runner.tick(at(501 + 225));

    assert_eq!(right_after, None);
    assert_eq!(
        runner.find_unavailable_reason(),
        Some(UnavailableReason::Unresponsive),
        "silence after the stall counts"
    );
}

// The dispatcher waited for runs that their guard stopped.
#[test]
fn a_session_in_doubt_goes_on_if_its_dispatcher_still_has_it() {
    let mut runner = stalled();
    runner.tick(at(AWAKE_MS));
    let asked = runner.take_actions();

    runner.receive(SESSION, echo(at(AWAKE_MS)), at(AWAKE_MS + 5));
    let extends_lease = extends_lease(&mut runner, AWAKE_MS + 6);
    runner.tick(at(AWAKE_MS + 300));

    let is_question = |action: &RunnerAction| matches!(action, RunnerAction::Send(SESSION, RunnerMessage::Heartbeat { clock, .. }) if *clock == at(AWAKE_MS));
    assert!(asked.iter().any(is_question), "{asked:?}");
    assert_eq!(stops(&asked), []);
    assert_eq!(stops(&runner.take_actions()), []);
    assert!(extends_lease);
}

// Its dispatcher may have begun the runs elsewhere by the time at which the lease lapses.
#[test]
fn while_a_session_is_in_doubt_no_lease_is_extended_and_nothing_starts() {
    let mut runner = stalled();
    runner.open_session(8, at(AWAKE_MS));

    runner.receive(8, assign(2, at(AWAKE_MS + 400)), at(AWAKE_MS + 1));

    assert!(!extends_lease(&mut runner, AWAKE_MS + 2));
    assert_eq!(take_starts(&mut runner).len(), 0);
}

// An echo of a reading from before the stall does not show that the dispatcher still has the session.
#[test]
fn a_session_in_doubt_ends_with_the_catch_up() {
    let mut runner = stalled();
    runner.receive(SESSION, echo(at(205)), at(AWAKE_MS + 1));
    runner.tick(at(AWAKE_MS + 119));
    let before = runner.take_actions();

    runner.tick(at(AWAKE_MS + 120));

    let actions = runner.take_actions();
    assert_eq!(stops(&before), []);
    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
    assert_eq!(stops(&actions), [1]);
}

// A process that gets too little processor time all the time would end no session.
#[test]
fn a_process_that_is_stalled_again_and_again_still_ends_sessions() {
    let mut runner = ready();
    let mut actions = Vec::new();

    for stall in 1..=20 {
        let now = at(100 + 110 * stall);
        runner.allow_for_stall(ms(110), now);
        runner.tick(now);
        actions.extend(runner.take_actions());
    }

    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
}
