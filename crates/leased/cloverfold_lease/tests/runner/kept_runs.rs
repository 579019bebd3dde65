//! Kept runs: which ends the target must keep listing, and when its lease is withheld.

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{EndDecision, EndOutcome, TaskEnd, first_run_of};
use cloverfold_lease::{
    DispatcherMessage, EndCause, EndedRun, KeptAssignment, RenewalAnswer, RunOutcome, Runner,
    RunnerAction, StartAnswer, UnavailableReason,
};

use crate::fixture::{
    RUN, SESSION, assign, assignment, at, echo, ends, incarnation_id, list, listed_run, ms, ready,
    registered, registration, renew, start_run, take_ends, take_starts, task,
};

const EPOCH: u64 = 3;
/// Index in its job of task 0.
const FIRST_INDEX: u32 = 40;

fn kept(index: u32, valid_until: Timestamp) -> DispatcherMessage {
    DispatcherMessage::AssignKept(KeptAssignment {
        assignment: assignment(index, valid_until),
        epoch: EPOCH,
        index_in_job: FIRST_INDEX + index,
    })
}

/// Assigns a kept run whose start the target acknowledges at once.
fn start_kept_run(runner: &mut Runner, index: u32, now: Timestamp) {
    runner.receive(SESSION, kept(index, now + ms(400)), now);
    let order = take_starts(runner).remove(0);
    runner.receive_start_answer(&order, StartAnswer::Started { clock: 50_010 }, now);
}

fn task_end(index: u32, outcome: EndOutcome) -> TaskEnd {
    TaskEnd {
        job: "job".into(),
        epoch: EPOCH,
        task: FIRST_INDEX + index,
        run: RUN,
        outcome,
    }
}

/// Returns the ends to record.
fn recorded(actions: &[RunnerAction]) -> Vec<TaskEnd> {
    let ends = actions.iter().filter_map(|action| match action {
        RunnerAction::RecordEnd(end) => Some(end.clone()),
        _ => None,
    });
    ends.collect()
}

/// Returns the number up to which the target may forget ends.
fn acknowledged(runner: &mut Runner, now: Timestamp) -> u64 {
    runner.plan_renewal(now).unwrap().last_acknowledged_end
}

/// Returns a runner with a completed kept run (end 1) and a completed best-effort run (end 2).
fn both_done() -> Runner {
    let mut runner = ready();
    start_kept_run(&mut runner, 1, at(110));
    start_run(&mut runner, 2, at(110));
    let ended = [(1, 1, EndCause::Done), (2, 2, EndCause::Done)];
    renew(&mut runner, at(150), list(50_060, vec![], &ended));
    runner
}

#[test]
fn the_end_of_a_kept_run_is_reported_at_once_and_acknowledged_once_recorded() {
    let mut runner = both_done();
    let actions = runner.take_actions();
    let done = [(1, RunOutcome::Done), (2, RunOutcome::Done)];
    assert_eq!(ends(&actions), done);
    let end = task_end(1, EndOutcome::Done);
    assert_eq!(recorded(&actions), std::slice::from_ref(&end));
    assert_eq!(acknowledged(&mut runner, at(160)), 0);

    runner.receive_end_decision(&end, EndDecision::Recorded, at(170));

    assert_eq!(acknowledged(&mut runner, at(175)), 2);
}

#[test]
fn an_end_before_a_held_one_is_acknowledged() {
    let mut runner = ready();
    start_kept_run(&mut runner, 1, at(110));
    start_run(&mut runner, 2, at(110));

    let ended = [(1, 2, EndCause::Done), (2, 1, EndCause::Failed)];
    renew(&mut runner, at(150), list(50_060, vec![], &ended));

    assert_eq!(acknowledged(&mut runner, at(160)), 1);
    let actions = runner.take_actions();
    assert_eq!(recorded(&actions), [task_end(1, EndOutcome::Failed)]);
}

#[test]
fn a_held_end_that_is_listed_again_is_processed_once() {
    let mut runner = both_done();
    runner.take_actions();
    let again = [(1, 1, EndCause::Done), (2, 2, EndCause::Done)];

    renew(&mut runner, at(180), list(50_090, vec![], &again));

    let actions = runner.take_actions();
    assert_eq!(ends(&actions), []);
    assert!(recorded(&actions).is_empty());
}

#[test]
fn an_end_that_is_neither_done_nor_failed_is_not_recorded() {
    let mut runner = ready();
    start_kept_run(&mut runner, 1, at(110));

    let ended = [(1, 1, EndCause::Stopped)];
    renew(&mut runner, at(150), list(50_060, vec![], &ended));

    assert!(recorded(&runner.take_actions()).is_empty());
    assert_eq!(acknowledged(&mut runner, at(160)), 1);
}

#[test]
fn the_end_of_a_job_that_is_over_is_acknowledged() {
    let mut runner = both_done();
    let end = task_end(1, EndOutcome::Done);

    runner.receive_end_decision(&end, EndDecision::JobOver, at(170));

    assert_eq!(acknowledged(&mut runner, at(175)), 2);
    assert!(runner.has_ready_target());
}

#[test]
fn a_fenced_end_is_acknowledged_only_after_the_lease_has_lapsed() {
    let mut runner = both_done();
    let end = task_end(1, EndOutcome::Done);
    // The newest deadline is that of the renewal at 150 ms: 650 ms later, about 50_709 on the target's clock.
    runner.receive_end_decision(&end, EndDecision::Fenced, at(170));
    let reason = runner.find_unavailable_reason();
    assert_eq!(reason, Some(UnavailableReason::LeaseWithheld));
    for now in [200, 400, 600, 750] {
        let order = runner.plan_renewal(at(now)).unwrap();
        assert_eq!(order.deadline, None, "at {now}");
        assert_eq!(order.last_acknowledged_end, 0, "at {now}");
        let answer = list(49_910 + now, vec![], &[]);
        runner.receive_renewal_answer(&order, answer, at(now + 1));
    }

    renew(&mut runner, at(900), list(50_810, vec![], &[]));

    let order = runner.plan_renewal(at(910)).unwrap();
    assert!(order.deadline.is_some());
    assert_eq!(order.last_acknowledged_end, 2);
    assert!(runner.has_ready_target());
}

#[test]
fn runs_are_lost_when_a_withheld_lease_lapses() {
    let mut runner = both_done();
    start_run(&mut runner, 3, at(155));
    runner.take_actions();
    let end = task_end(1, EndOutcome::Done);
    runner.receive_end_decision(&end, EndDecision::Fenced, at(170));
    runner.receive(SESSION, echo(at(600)), at(600));

    let running = vec![listed_run(3, None)];
    renew(&mut runner, at(700), list(50_610, running, &[]));
    assert_eq!(take_ends(&mut runner), []);
    let lapsed = [(3, 3, EndCause::Lapsed)];
    renew(&mut runner, at(950), list(50_860, vec![], &lapsed));

    assert_eq!(take_ends(&mut runner), [(3, RunOutcome::Lost)]);
}

#[test]
fn a_stop_of_a_kept_run_without_effect_lets_the_lease_lapse() {
    let mut runner = ready();
    start_kept_run(&mut runner, 1, at(110));
    runner.receive(SESSION, echo(at(140)), at(140));
    let withdraw = DispatcherMessage::Withdraw {
        task: task(1),
        run: RUN,
    };
    runner.receive(SESSION, withdraw, at(150));
    renew(
        &mut runner,
        at(380),
        list(50_290, vec![listed_run(1, None)], &[]),
    );

    runner.tick(at(399));
    let before = runner.plan_renewal(at(399)).unwrap();
    runner.tick(at(400));
    let after = runner.plan_renewal(at(400)).unwrap();

    assert!(before.deadline.is_some());
    assert_eq!(after.deadline, None);
    runner.receive(SESSION, echo(at(401)), at(401));
    let ended = [(1, 1, EndCause::Stopped)];
    runner.receive_renewal_answer(&after, list(50_310, vec![], &ended), at(402));
    runner.tick(at(403));
    let after_end = runner.plan_renewal(at(404)).unwrap();
    assert!(
        after_end.deadline.is_some(),
        "the lease is extended once the run has ended"
    );
}

#[test]
fn a_stop_of_a_best_effort_run_without_effect_changes_nothing() {
    let mut runner = ready();
    start_run(&mut runner, 1, at(110));
    runner.receive(SESSION, echo(at(140)), at(140));
    let withdraw = DispatcherMessage::Withdraw {
        task: task(1),
        run: RUN,
    };
    runner.receive(SESSION, withdraw, at(150));
    renew(
        &mut runner,
        at(430),
        list(50_340, vec![listed_run(1, None)], &[]),
    );

    runner.tick(at(450));

    assert!(runner.plan_renewal(at(450)).unwrap().deadline.is_some());
}

#[test]
fn an_end_of_a_kept_run_of_an_earlier_process_is_acknowledged_once_its_lease_has_lapsed() {
    let mut runner = registered(registration(1), at(90));
    let done = EndedRun {
        number: 4,
        task: task(1),
        run: first_run_of(1),
        cause: EndCause::Done,
    };
    let stopped = EndedRun {
        number: 5,
        task: task(2),
        run: first_run_of(1),
        cause: EndCause::Stopped,
    };
    let unknown = RenewalAnswer::Listed {
        start_time: None,
        clock: 50_005,
        running: vec![],
        ended: vec![done, stopped],
    };

    renew(&mut runner, at(95), unknown);
    let held = runner.plan_renewal(at(100)).unwrap();
    runner.tick(at(90 + 714));
    let free = runner.plan_renewal(at(90 + 714)).unwrap();

    assert_eq!((held.deadline, held.last_acknowledged_end), (None, 3));
    assert_eq!(free.last_acknowledged_end, 5);
}

#[test]
fn an_end_of_a_best_effort_run_of_an_earlier_process_is_acknowledged_at_once() {
    let mut runner = registered(registration(1), at(90));
    let unknown = [(4, 1, EndCause::Done), (5, 2, EndCause::Failed)];

    renew(&mut runner, at(95), list(50_005, vec![], &unknown));

    let order = runner.plan_renewal(at(100)).unwrap();
    assert_eq!(order.last_acknowledged_end, 5);
    assert!(order.deadline.is_some());
}

#[test]
fn ends_of_an_earlier_process_that_complete_no_task_are_acknowledged_at_once() {
    let mut runner = registered(registration(1), at(90));
    let unknown = [(4, 1, EndCause::Lapsed), (5, 2, EndCause::Stopped)];

    renew(&mut runner, at(95), list(50_005, vec![], &unknown));

    let order = runner.plan_renewal(at(100)).unwrap();
    assert_eq!(order.last_acknowledged_end, 5);
    assert!(order.deadline.is_some());
}

#[test]
fn held_ends_that_hide_others_are_released_by_a_lapse() {
    let mut runner = ready();
    start_kept_run(&mut runner, 1, at(110));
    let mut listed = vec![EndedRun {
        number: 1,
        task: task(1),
        run: RUN,
        cause: EndCause::Done,
    }];
    listed.extend((2..=400).map(|number| EndedRun {
        number,
        task: task(number as u32),
        run: RUN,
        cause: EndCause::Stopped,
    }));
    let answer = RenewalAnswer::Listed {
        start_time: None,
        clock: 50_060,
        running: vec![],
        ended: listed,
    };

    renew(&mut runner, at(150), answer);
    let held = acknowledged(&mut runner, at(160));
    renew(&mut runner, at(900), list(50_810, vec![], &[]));

    assert_eq!(held, 0);
    assert_eq!(acknowledged(&mut runner, at(910)), 400);
}

#[test]
fn a_new_incarnation_holds_no_end_of_the_previous_one() {
    let mut runner = both_done();
    runner.unregister(&incarnation_id("incarnation-1", None), at(160));
    runner.register(registration(2), at(170));

    let end = task_end(1, EndOutcome::Done);
    runner.receive_end_decision(&end, EndDecision::Fenced, at(180));
    renew(&mut runner, at(190), list(10, vec![], &[]));

    assert_eq!(runner.held_end_count(), 0);
    assert!(runner.has_ready_target());
}

#[test]
fn an_open_kept_run_blocks_another_run_of_its_task() {
    let mut runner = ready();
    start_kept_run(&mut runner, 1, at(110));

    runner.receive(SESSION, assign(1, at(500)), at(120));

    assert!(take_starts(&mut runner).is_empty());
}
