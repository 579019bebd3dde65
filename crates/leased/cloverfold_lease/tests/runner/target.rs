//! The target: incarnations, lists and unresponsiveness.

use cloverfold_lease::{
    EndCause, RenewalAnswer, RunOutcome, Runner, RunnerAction, TargetRegistration,
    UnavailableReason,
};

use crate::fixture::{
    SESSION, assign, at, echo, list, listed_run, ready, registered, registration, renew, start_run,
    take_ends, take_starts, task,
};

#[test]
fn a_target_gets_no_work_until_its_list_contains_no_orphans() {
    let mut runner = registered(registration(1), at(90));
    let first = runner.plan_renewal(at(91)).unwrap();
    assert_eq!(
        first.deadline, None,
        "no lease for runs of an earlier process"
    );

    runner.receive_renewal_answer(&first, list(50_001, vec![listed_run(3, None)], &[]), at(92));

    assert!(!runner.has_ready_target());
    let actions = runner.take_actions();
    assert!(matches!(&actions[..], [.., RunnerAction::Stop(order)] if order.task == task(3)));
    renew(
        &mut runner,
        at(120),
        list(50_030, vec![], &[(1, 3, EndCause::Stopped)]),
    );
    assert!(runner.has_ready_target());
}

#[test]
fn a_late_registration_of_an_earlier_incarnation_is_ignored() {
    let mut runner = ready();
    runner.register(registration(2), at(110));
    renew(&mut runner, at(112), list(50_005, vec![], &[]));
    runner.take_actions();
    start_run(&mut runner, 1, at(120));

    runner.register(registration(1), at(130));

    assert_eq!(take_ends(&mut runner), []);
    assert_eq!(
        runner.plan_renewal(at(131)).unwrap().incarnation.name,
        "incarnation-2"
    );
}

#[test]
fn a_new_incarnation_ends_all_earlier_runs_once_it_has_answered() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));

    runner.register(registration(2), at(120));
    let before = take_ends(&mut runner);
    renew(&mut runner, at(121), list(10, vec![], &[]));

    assert_eq!(
        before,
        [],
        "the registration may be a late one of a dead incarnation"
    );
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
    assert!(runner.has_ready_target());
}

/// Returns a runner that knows only `incarnation-2`, with a run there, after a late registration of the crashed `incarnation-1`.
fn with_late_registration() -> Runner {
    let mut runner = registered(registration(2), at(90));
    renew(&mut runner, at(95), list(50_005, vec![], &[]));
    runner.open_session(SESSION, at(100));
    runner.take_actions();
    start_run(&mut runner, 1, at(110));
    runner.register(registration(1), at(120));
    runner
}

#[test]
fn a_late_registration_of_an_unknown_incarnation_is_probed_and_then_ignored() {
    let mut runner = with_late_registration();

    let probe = runner.plan_renewal(at(121)).unwrap();
    runner.receive_renewal_answer(&probe, RenewalAnswer::OtherIncarnation, at(122));
    runner.register(registration(1), at(130));

    assert_eq!(probe.incarnation.name, "incarnation-1");
    assert_eq!(probe.deadline, None, "a probe must not extend a lease");
    assert_eq!(take_ends(&mut runner), [], "the run goes on");
    assert!(runner.has_ready_target());
    let next = runner.plan_renewal(at(131)).unwrap();
    assert_eq!(next.incarnation.name, "incarnation-2");
}

#[test]
fn registrations_of_the_live_target_are_accepted_after_a_late_one() {
    let mut runner = with_late_registration();
    let probe = runner.plan_renewal(at(121)).unwrap();
    runner.receive_renewal_answer(&probe, RenewalAnswer::OtherIncarnation, at(122));

    let draining = TargetRegistration {
        is_draining: true,
        sequence: 2,
        ..registration(2)
    };
    runner.register(draining, at(140));

    assert_eq!(
        runner.find_unavailable_reason(),
        Some(UnavailableReason::Draining)
    );
}

#[test]
fn an_unanswered_probe_keeps_the_target_and_is_retried_for_a_while() {
    let mut runner = with_late_registration();

    let first = runner.plan_renewal(at(121)).unwrap();
    runner.receive_renewal_answer(&first, RenewalAnswer::Unanswered, at(150));
    let between = runner.plan_renewal(at(151)).unwrap();
    let again = runner.plan_renewal(at(330)).unwrap();
    let much_later = runner.plan_renewal(at(20_000)).unwrap();

    assert_eq!(first.incarnation.name, "incarnation-1");
    assert_eq!(
        between.incarnation.name, "incarnation-2",
        "the lease of the target is renewed between probes"
    );
    assert_eq!(again.incarnation.name, "incarnation-1");
    assert_eq!(much_later.incarnation.name, "incarnation-2");
    assert_eq!(take_ends(&mut runner), []);
}

#[test]
fn a_restarted_runner_finds_the_live_target_after_a_registration_of_a_dead_one() {
    let mut runner = registered(registration(1), at(90));
    let dead = runner.plan_renewal(at(91)).unwrap();
    runner.receive_renewal_answer(&dead, RenewalAnswer::OtherIncarnation, at(92));

    runner.register(registration(2), at(100));
    renew(&mut runner, at(101), list(50_005, vec![], &[]));
    runner.register(registration(1), at(110));

    assert!(runner.has_ready_target());
    let next = runner.plan_renewal(at(111)).unwrap();
    assert_eq!(next.incarnation.name, "incarnation-2");
}

#[test]
fn a_candidate_that_refuses_the_fencing_token_is_probed_with_a_higher_one() {
    let mut runner = ready();
    runner.register(registration(2), at(110));
    let refused = runner.plan_renewal(at(111)).unwrap();
    runner.receive_renewal_answer(&refused, RenewalAnswer::Fenced, at(112));

    let again = runner.plan_renewal(at(230)).unwrap();
    runner.receive_renewal_answer(&again, list(10, vec![], &[]), at(231));

    assert!(again.fencing_token > refused.fencing_token);
    let next = runner.plan_renewal(at(232)).unwrap();
    assert_eq!(next.incarnation.name, "incarnation-2");
    assert_eq!(next.fencing_token, again.fencing_token);
}

#[test]
fn ends_are_reported_once_and_acknowledged() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    renew(
        &mut runner,
        at(130),
        list(50_050, vec![], &[(1, 1, EndCause::Done)]),
    );
    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Done)]);

    renew(
        &mut runner,
        at(140),
        list(50_060, vec![], &[(1, 1, EndCause::Done)]),
    );

    assert_eq!(take_ends(&mut runner), []);
    assert_eq!(
        runner.plan_renewal(at(150)).unwrap().last_acknowledged_end,
        1
    );
}

#[test]
fn a_run_that_is_no_longer_listed_is_lost() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));

    renew(&mut runner, at(130), list(50_050, vec![], &[]));

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn an_unresponsive_target_gets_no_work_and_its_runs_are_lost_only_when_the_lease_lapses() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    let echo = |runner: &mut Runner, now_ms| {
        let now = at(now_ms);
        runner.receive(SESSION, echo(now), now);
        runner.tick(now);
    };
    for at in (150..700).step_by(50) {
        echo(&mut runner, at);
    }
    assert!(!runner.has_ready_target());
    assert_eq!(take_ends(&mut runner), [], "the lease may still be valid");

    for at in (700..900).step_by(50) {
        echo(&mut runner, at);
    }

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

/// Sends a renewal every 40 ms that stays unanswered.
fn renew_without_answers(runner: &mut Runner, from_ms: u64, until_ms: u64) {
    for now in (from_ms..until_ms).step_by(40) {
        runner.receive(SESSION, echo(at(now)), at(now));
        let order = runner.plan_renewal(at(now)).unwrap();
        runner.receive_renewal_answer(&order, RenewalAnswer::Unanswered, at(now + 40));
        runner.tick(at(now + 40));
    }
}

#[test]
fn runs_of_an_unresponsive_target_are_lost_despite_renewals() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));

    renew_without_answers(&mut runner, 120, 1_200);

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn the_lease_of_a_target_that_answers_again_in_time_is_extended() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    renew_without_answers(&mut runner, 120, 500);
    let while_unresponsive = runner.plan_renewal(at(500)).unwrap();

    renew(
        &mut runner,
        at(510),
        list(50_420, vec![listed_run(1, None)], &[]),
    );
    runner.tick(at(515));

    let next = runner.plan_renewal(at(520)).unwrap();
    assert_eq!(while_unresponsive.deadline, None);
    assert_eq!(next.deadline, Some(50_420 + 9 + 650));
    assert_eq!(take_ends(&mut runner), []);
}

#[test]
fn an_unresponsive_target_gets_no_work_and_no_start_retries() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(500)), at(110));
    take_starts(&mut runner);
    for now in [150, 200, 250] {
        let order = runner.plan_renewal(at(now - 40)).unwrap();
        runner.receive_renewal_answer(&order, RenewalAnswer::Unanswered, at(now));
    }
    assert!(runner.has_ready_target());

    runner.tick(at(325));

    assert!(!runner.has_ready_target());
    take_starts(&mut runner);
    runner.tick(at(360));
    assert!(take_starts(&mut runner).is_empty());
}
