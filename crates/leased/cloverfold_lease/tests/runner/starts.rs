//! Starts: retries, refusals and the fencing token.

use cloverfold_lease::{RunOutcome, RunRefusal, StartAnswer, StartRefusal};

use crate::fixture::{SESSION, assign, at, list, ready, renew, take_ends, take_starts};

#[test]
fn an_unanswered_start_is_retried_with_the_same_deadline() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = take_starts(&mut runner).remove(0);
    runner.receive_start_answer(&first, StartAnswer::Unanswered, at(140));

    let second = take_starts(&mut runner).remove(0);

    assert_eq!((second.run, second.deadline), (first.run, first.deadline));
    assert_eq!(second.attempt, 2);
}

#[test]
fn a_refused_retry_is_not_reported_before_the_first_start_has_expired() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = take_starts(&mut runner).remove(0);
    runner.receive_start_answer(&first, StartAnswer::Unanswered, at(140));
    let second = take_starts(&mut runner).remove(0);
    let refused = StartAnswer::Refused(StartRefusal::NoCapacity, Some(50_050));

    runner.receive_start_answer(&second, refused, at(145));

    assert_eq!(
        take_ends(&mut runner),
        [],
        "the first start may still be executed"
    );
    renew(&mut runner, at(150), list(first.deadline, vec![], &[]));
    assert_eq!(take_ends(&mut runner), []);
    renew(&mut runner, at(160), list(first.deadline + 1, vec![], &[]));
    let expected = [(1, RunOutcome::NotStarted(RunRefusal::NoCapacity))];
    assert_eq!(take_ends(&mut runner), expected);
}

#[test]
fn a_refused_fencing_token_is_raised_and_the_start_resent() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = take_starts(&mut runner).remove(0);

    let fenced = StartAnswer::Refused(StartRefusal::Fenced, Some(50_020));
    runner.receive_start_answer(&first, fenced, at(112));

    let second = take_starts(&mut runner).remove(0);
    assert!(second.fencing_token > first.fencing_token);
    assert!(runner.plan_renewal(at(113)).unwrap().fencing_token >= second.fencing_token);
}

#[test]
fn an_undelivered_start_is_refused_at_once() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(500)), at(110));
    let order = take_starts(&mut runner).remove(0);

    let answer = StartAnswer::Refused(StartRefusal::Unreachable, None);
    runner.receive_start_answer(&order, answer, at(111));

    let refused = RunOutcome::NotStarted(RunRefusal::Unanswered);
    assert_eq!(take_ends(&mut runner), [(1, refused)]);
    assert_eq!(runner.run_count(), 0);
}

#[test]
fn an_undelivered_retry_is_not_refused_while_the_first_start_may_take_effect() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(500)), at(110));
    let first = take_starts(&mut runner).remove(0);
    runner.receive_start_answer(&first, StartAnswer::Unanswered, at(130));
    let second = take_starts(&mut runner).remove(0);

    let answer = StartAnswer::Refused(StartRefusal::Unreachable, None);
    runner.receive_start_answer(&second, answer, at(131));

    assert_eq!(take_ends(&mut runner), []);
    assert_eq!(
        runner.run_count(),
        1,
        "the first start may still be executed"
    );
}

#[test]
fn a_start_is_sent_at_most_six_times() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let mut sent = take_starts(&mut runner);

    for now in (140..400).step_by(30) {
        runner.tick(at(now));
        sent.extend(take_starts(&mut runner));
    }

    let attempts: Vec<u32> = sent.iter().map(|order| order.attempt).collect();
    assert_eq!(attempts, [1, 2, 3, 4, 5, 6]);
    let first = sent[0].deadline;
    assert!(sent.iter().all(|order| order.deadline == first));
    assert_eq!(runner.run_count(), 1, "each of them may still be executed");
}

#[test]
fn a_single_late_start_is_replaced_by_one_with_a_new_deadline() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = take_starts(&mut runner).remove(0);

    let late = StartAnswer::Refused(StartRefusal::Late, Some(first.deadline + 1));
    runner.receive_start_answer(&first, late, at(112));

    let second = take_starts(&mut runner).remove(0);
    assert!(second.deadline > first.deadline + 1);
    assert_eq!(second.run, first.run);
}

#[test]
fn a_late_retry_keeps_its_deadline() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = take_starts(&mut runner).remove(0);
    runner.receive_start_answer(&first, StartAnswer::Unanswered, at(140));
    let second = take_starts(&mut runner).remove(0);

    let late = StartAnswer::Refused(StartRefusal::Late, Some(first.deadline + 1));
    runner.receive_start_answer(&second, late, at(145));

    let third = take_starts(&mut runner).remove(0);
    assert_eq!(third.deadline, first.deadline);
}
