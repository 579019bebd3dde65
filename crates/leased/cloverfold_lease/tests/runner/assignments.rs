//! Which assignments are accepted, which wait, and which are refused.

use cloverfold_lease::{EndCause, RunOutcome, RunRefusal};

use crate::fixture::{SESSION, assign, at, list, ready, renew, start_run, take_ends, take_starts};

#[test]
fn runs_wait_for_capacity_and_are_refused_after_their_wait() {
    let mut runner = ready();
    for index in 0..3 {
        runner.receive(SESSION, assign(index, at(600)), at(110));
    }
    assert_eq!(take_starts(&mut runner).len(), 2, "only two runs fit");

    runner.tick(at(171));

    assert_eq!(
        take_ends(&mut runner),
        [(2, RunOutcome::NotStarted(RunRefusal::NoCapacity))]
    );
}

#[test]
fn an_assignment_after_the_end_of_its_session_is_refused() {
    let mut runner = ready();

    runner.receive(SESSION, assign(1, at(150)), at(151));

    let expected = [(1, RunOutcome::NotStarted(RunRefusal::Expired))];
    assert_eq!(take_ends(&mut runner), expected);
}

#[test]
fn a_draining_runner_refuses_assignments_and_finishes_its_runs() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.begin_draining(at(120));
    runner.receive(SESSION, assign(2, at(600)), at(121));
    let expected = [(2, RunOutcome::NotStarted(RunRefusal::Draining))];
    assert_eq!(take_ends(&mut runner), expected);

    renew(
        &mut runner,
        at(130),
        list(50_050, vec![], &[(1, 1, EndCause::Done)]),
    );

    assert_eq!(take_ends(&mut runner), [(1, RunOutcome::Done)]);
    assert_eq!(runner.run_count(), 0);
}
