//! The target: its incarnations, its lists, its silence.

use cloverfold_lease::{EndCause, RenewalAnswer, RunOutcome, Runner, RunnerAction};

use crate::fixture::{
    SESSION, assign, at, echo, list, ready, registered, registration, renew, row, started,
    take_ends, take_starts, task,
};

#[test]
fn nothing_is_assigned_to_a_target_before_it_is_known_to_run_nothing_else() {
    let mut runner = registered(registration(1), at(90));
    let first = runner.plan_renewal(at(91)).unwrap();
    assert_eq!(
        first.deadline, None,
        "no lease for runs of an earlier process"
    );

    runner.receive_renewal_answer(&first, list(50_001, vec![row(3, None)], &[]), at(92));

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
fn what_comes_late_from_an_earlier_incarnation_of_the_target_changes_nothing() {
    let mut runner = ready();
    runner.register(registration(2), at(110));
    renew(&mut runner, at(112), list(50_005, vec![], &[]));
    runner.take_actions();
    started(&mut runner, 1, at(120));

    runner.register(registration(1), at(130));

    assert_eq!(take_ends(&mut runner), []);
    assert_eq!(
        runner.plan_renewal(at(131)).unwrap().incarnation,
        "incarnation-2"
    );
}

#[test]
fn a_new_incarnation_of_the_target_ends_all_runs_of_the_last() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));

    runner.register(registration(2), at(120));

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn ends_are_reported_once_and_acknowledged() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
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
    started(&mut runner, 1, at(110));

    renew(&mut runner, at(130), list(50_050, vec![], &[]));

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn an_unresponsive_target_gets_no_work_and_its_runs_are_lost_only_with_the_lease() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    let echo = |runner: &mut Runner, now_ms| {
        let now = at(now_ms);
        runner.receive(SESSION, echo(now), now);
        runner.tick(now);
    };
    for at in (150..700).step_by(50) {
        echo(&mut runner, at);
    }
    assert!(!runner.has_ready_target());
    assert_eq!(take_ends(&mut runner), [], "the lease may still stand");

    for at in (700..900).step_by(50) {
        echo(&mut runner, at);
    }

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Lost)]);
}

#[test]
fn a_target_that_misses_three_renewals_gets_no_work_and_no_further_starts() {
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
