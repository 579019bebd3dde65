//! Stalls of the dispatcher's own process.

use cloverfold_lease::{DispatcherAction, JobAnswer, RunOutcome};

use crate::fixture::{CAPACITY, Fixture, job, long_step, ms, one_task_job};

/// Simulates a stall of the process that it detects afterwards.
fn stall(fixture: &mut Fixture, duration_ms: u64) {
    fixture.now += ms(duration_ms);
    fixture
        .dispatcher
        .allow_for_stall(ms(duration_ms), fixture.now);
}

/// Ticks once immediately and then `ticks` times every 20 ms, without any messages from runners.
fn tick_without_messages(fixture: &mut Fixture, ticks: u32) {
    fixture.dispatcher.tick(fixture.now);
    for _ in 0..ticks {
        fixture.now += ms(20);
        fixture.dispatcher.tick(fixture.now);
    }
}

// Guards against withdrawing a run whose end was reported during the stall but not read yet.
#[test]
fn a_run_that_ended_during_a_stall_is_not_withdrawn_before_its_end_is_read() {
    let mut fixture = Fixture::new(1);
    let number = fixture.submit(one_task_job("a"));
    let run = fixture.take_assignments().remove(0);

    stall(&mut fixture, 450);
    fixture.dispatcher.tick(fixture.now);

    assert_eq!(fixture.dispatcher.counts().withdrawn, 0);
    fixture.report_end(&run, RunOutcome::Done);
    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Completed)]);
}

// Guards against giving up a job whose deadline passed during the stall although its end was reported meanwhile.
#[test]
fn a_job_that_completed_during_a_stall_is_answered_as_completed() {
    let mut fixture = Fixture::new(1);
    let number = fixture.submit(one_task_job("a"));
    let run = fixture.take_assignments().remove(0);
    fixture.advance(600, &[1]);
    fixture.dispatcher.take_actions();

    stall(&mut fixture, 690);
    fixture.dispatcher.tick(fixture.now);
    fixture.report_end(&run, RunOutcome::Done);

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::Completed)]);
}

// Guards against closing sessions with live runners, whose runs would count as lost.
#[test]
fn the_duration_of_a_stall_does_not_count_towards_the_session_timeout() {
    let mut fixture = Fixture::new(1);
    fixture.submit(job("a", vec![long_step()]));
    fixture.dispatcher.take_actions();

    stall(&mut fixture, 600);
    tick_without_messages(&mut fixture, 24);
    let before = fixture.dispatcher.take_actions();
    tick_without_messages(&mut fixture, 2);
    let after = fixture.dispatcher.take_actions();

    assert!(!before.contains(&DispatcherAction::CloseSession(1)));
    assert!(after.contains(&DispatcherAction::CloseSession(1)));
}

// A runner closes a session by its own clock; assignments in a session that may have expired would be lost.
#[test]
fn a_runner_whose_session_may_have_expired_receives_work_after_its_next_heartbeat() {
    let mut fixture = Fixture::new(1);
    stall(&mut fixture, 600);

    fixture.submit(one_task_job("a"));
    fixture.dispatcher.tick(fixture.now);
    let before = fixture.take_assignments().len();
    fixture.heartbeat(1, CAPACITY, 0);
    fixture.now += ms(20);
    fixture.dispatcher.tick(fixture.now);

    assert_eq!((before, fixture.take_assignments().len()), (0, 1));
}

// Guards against refusing jobs before the unread messages of targets are handled.
#[test]
fn a_job_submitted_right_after_a_stall_waits_during_the_catch_up_period() {
    let mut fixture = Fixture::new(1);
    stall(&mut fixture, 600);

    fixture.submit(one_task_job("a"));
    tick_without_messages(&mut fixture, 4);
    let early = fixture.take_answers();
    tick_without_messages(&mut fixture, 2);
    let late = fixture.take_answers();

    assert_eq!(early, []);
    assert!(
        matches!(late[..], [(_, JobAnswer::Refused { .. })]),
        "{late:?}"
    );
}

// Guards against an endless catch-up period of a process that is starved of processor time.
#[test]
fn repeated_stalls_do_not_keep_jobs_open() {
    let mut fixture = Fixture::new(1);
    let number = fixture.submit(one_task_job("a"));
    fixture.dispatcher.take_actions();

    for _ in 0..20 {
        stall(&mut fixture, 110);
        fixture.dispatcher.tick(fixture.now);
    }

    assert_eq!(fixture.take_answers(), [(number, JobAnswer::GivenUp)]);
}
