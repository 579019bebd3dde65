//! Pauses between renewals: a target that answers at once must not be renewed in a busy loop, nor too rarely to keep its lease.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndDecision, EndOutcome, TaskEnd};
use cloverfold_lease::{
    DispatcherMessage, EndCause, KeptAssignment, RenewalAnswer, RenewalPause, Runner, RunnerAction,
    StartAnswer,
};

use crate::fixture::{RUN, SESSION, assignment, at, echo, list, ms, ready, take_starts};

/// Renewals of an idle target per second, with a poll timeout of 25 ms.
const IDLE_RENEWALS: usize = 40;
/// Round trip to the target, in milliseconds.
const ROUND_TRIP_MS: u64 = 1;

/// Returns a runner with a completed kept run whose end 1, listed at 151 ms, is held.
fn with_held_end() -> Runner {
    let mut runner = ready();
    let kept = DispatcherMessage::AssignKept(KeptAssignment {
        assignment: assignment(1, at(500)),
        epoch: 3,
        index_in_job: 40,
    });
    runner.receive(SESSION, kept, at(110));
    let start = take_starts(&mut runner).remove(0);
    runner.receive_start_answer(&start, StartAnswer::Started { clock: 50_010 }, at(110));
    renew_after(&mut runner, at(150), ms(ROUND_TRIP_MS), done(50_060));
    runner.take_actions();
    runner
}

fn done(clock: u64) -> RenewalAnswer {
    list(clock, vec![], &[(1, 1, EndCause::Done)])
}

/// Renews at `now` with an answer after `latency`; returns the pause.
fn renew_after(
    runner: &mut Runner,
    now: Timestamp,
    latency: Duration,
    answer: RenewalAnswer,
) -> RenewalPause {
    let order = runner.plan_renewal(now).unwrap();
    runner.receive_renewal_answer(&order, answer, now + latency)
}

/// Renews until `until_ms` with the longest pauses, at a target that answers at once; returns when each renewal was sent.
fn renew_until(
    runner: &mut Runner,
    from_ms: u64,
    until_ms: u64,
    answer: impl Fn(u64) -> RenewalAnswer,
) -> Vec<u64> {
    let mut sent = Vec::new();
    let mut now = from_ms;
    while now < until_ms {
        runner.receive(SESSION, echo(at(now)), at(now));
        sent.push(now);
        let latency = ms(ROUND_TRIP_MS);
        let pause = renew_after(runner, at(now), latency, answer(50_000 + now));
        now += ROUND_TRIP_MS + pause.longest.as_millis() as u64;
    }
    sent
}

#[test]
fn a_target_with_a_held_end_is_renewed_about_as_often_as_an_idle_one() {
    let mut runner = with_held_end();

    let sent = renew_until(&mut runner, 152, 1_152, done);

    assert!(sent.len() <= IDLE_RENEWALS + 4, "{}", sent.len());
}

#[test]
fn the_lease_of_a_target_with_a_held_end_is_extended_in_time() {
    let mut runner = with_held_end();

    let sent = renew_until(&mut runner, 152, 3_152, done);

    let longest = sent.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap();
    assert!(
        longest <= 26,
        "up to {longest} ms between renewals of a lease of 650 ms"
    );
    assert!(runner.has_ready_target());
    let order = runner.plan_renewal(at(3_160)).unwrap();
    assert!(order.deadline.is_some());
}

#[test]
fn pauses_start_short_and_double() {
    let mut runner = with_held_end();

    let sent = renew_until(&mut runner, 152, 300, done);

    let pauses: Vec<u64> = sent.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert_eq!(pauses[..5], [5, 9, 17, 26, 26]);
}

#[test]
fn a_new_end_resets_the_pause() {
    let mut runner = with_held_end();
    renew_until(&mut runner, 152, 400, done);

    let both = list(
        50_400,
        vec![],
        &[(1, 1, EndCause::Done), (2, 9, EndCause::Failed)],
    );
    let pause = renew_after(&mut runner, at(400), ms(ROUND_TRIP_MS), both);

    assert_eq!(pause.longest, ms(2));
}

#[test]
fn a_decision_on_the_held_end_ends_the_pause() {
    let mut runner = with_held_end();
    let end = TaskEnd {
        job: "job".into(),
        epoch: 3,
        task: 40,
        run: RUN,
        outcome: EndOutcome::Done,
    };

    runner.receive_end_decision(&end, EndDecision::Recorded, at(160));

    let actions = runner.take_actions();
    let is_renewal = |action: &RunnerAction| matches!(action, RunnerAction::RenewNow);
    assert!(actions.iter().any(is_renewal));
    let next = runner.plan_renewal(at(161)).unwrap();
    assert_eq!(next.last_acknowledged_end, 1);
}

#[test]
fn a_target_that_uses_its_wait_is_renewed_without_a_pause() {
    let mut runner = ready();

    let waited = renew_after(&mut runner, at(110), ms(26), list(50_036, vec![], &[]));

    assert_eq!(waited, RenewalPause::default());
}

#[test]
fn renewals_are_rate_limited_for_a_target_that_always_answers_at_once() {
    let mut without_ends = ready();
    let mut with_new_ends = ready();

    let idle = renew_until(&mut without_ends, 110, 1_110, |clock| {
        list(clock, vec![], &[])
    });
    let busy = renew_until(&mut with_new_ends, 110, 1_110, |clock| {
        list(clock, vec![], &[(clock, 9, EndCause::Failed)])
    });

    assert!(idle.len() <= IDLE_RENEWALS + 4, "{}", idle.len());
    assert!(busy.len() <= 500, "{}", busy.len());
}

#[test]
fn an_unanswered_renewal_is_retried_sooner_while_the_target_accepts_work() {
    let mut runner = ready();
    let order = runner.plan_renewal(at(110)).unwrap();

    let ready_pause = runner.receive_renewal_answer(&order, RenewalAnswer::Unanswered, at(150));
    runner.tick(at(400));
    let unready_pause = runner.receive_renewal_answer(&order, RenewalAnswer::Unanswered, at(410));

    assert_eq!(ready_pause.longest, ms(10));
    assert_eq!(unready_pause.longest, ms(60));
}
