//! Stalls of the runner's process: neither the target nor a session may be judged by messages that are still unread.

use cloverfold_lease::{Runner, RunnerAction, RunnerMessage, UnavailableReason};

use crate::fixture::{
    SESSION, assign, at, echo, list, listed_run, ms, ready, renew, start_run, stops, take_starts,
};

/// End of the stall. The session's last echo is of 200 ms, so it has expired by then.
const STALL_END_MS: u64 = 900;

/// Returns a runner with a run whose process stalled from 210 ms on and has noticed the stall.
fn stalled() -> Runner {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    renew(
        &mut runner,
        at(200),
        list(50_100, vec![listed_run(1, None)], &[]),
    );
    runner.receive(SESSION, echo(at(200)), at(210));
    runner.take_actions();
    runner.allow_for_stall(ms(STALL_END_MS - 210), at(STALL_END_MS));
    runner
}

/// Returns whether the next renewal extends the target's lease.
fn extends_lease(runner: &mut Runner, now: u64) -> bool {
    let order = runner.plan_renewal(at(now)).unwrap();
    order.deadline.is_some()
}

// Otherwise a healthy target gets no work because the guard has not read its answers yet.
#[test]
fn a_stall_does_not_make_the_target_unresponsive() {
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
        "missing answers after the stall count"
    );
}

// Otherwise the guard stops runs that their dispatcher waits for.
#[test]
fn a_session_in_doubt_is_valid_again_after_a_new_echo() {
    let mut runner = stalled();
    runner.tick(at(STALL_END_MS));
    let after_stall = runner.take_actions();

    runner.receive(SESSION, echo(at(STALL_END_MS)), at(STALL_END_MS + 5));
    let extends_lease = extends_lease(&mut runner, STALL_END_MS + 6);
    runner.tick(at(STALL_END_MS + 300));

    let is_new_heartbeat = |action: &RunnerAction| {
        matches!(
            action,
            RunnerAction::Send(SESSION, RunnerMessage::Heartbeat { clock, .. }) if *clock == at(STALL_END_MS)
        )
    };
    assert!(after_stall.iter().any(is_new_heartbeat), "{after_stall:?}");
    assert_eq!(stops(&after_stall), []);
    assert_eq!(stops(&runner.take_actions()), []);
    assert!(extends_lease);
}

// The dispatcher may already start the tasks elsewhere when an extended lease lapses.
#[test]
fn while_a_session_is_in_doubt_no_lease_is_extended_and_nothing_starts() {
    let mut runner = stalled();
    runner.open_session(8, at(STALL_END_MS));

    runner.receive(8, assign(2, at(STALL_END_MS + 400)), at(STALL_END_MS + 1));

    assert!(!extends_lease(&mut runner, STALL_END_MS + 2));
    assert_eq!(take_starts(&mut runner).len(), 0);
}

// An echo of a reading from before the stall does not prove that the dispatcher still has the session.
#[test]
fn a_session_in_doubt_ends_with_the_catch_up() {
    let mut runner = stalled();
    runner.receive(SESSION, echo(at(205)), at(STALL_END_MS + 1));
    runner.tick(at(STALL_END_MS + 119));
    let before = runner.take_actions();

    runner.tick(at(STALL_END_MS + 120));

    let actions = runner.take_actions();
    assert_eq!(stops(&before), []);
    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
    assert_eq!(stops(&actions), [1]);
}

// Otherwise a process that constantly lacks processor time would never close a session.
#[test]
fn repeated_stalls_do_not_keep_sessions_open() {
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
