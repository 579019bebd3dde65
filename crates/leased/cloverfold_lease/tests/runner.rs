//! Single rules of a runner, spoken to by hand.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_lease::{
    Assignment, DispatcherMessage, EndCause, EndedRun, HeldRun, HoldAnswer, Refusal, Resources,
    RunOutcome, Runner, RunnerAction, RunnerMessage, StartAnswer, StartOrder, StartRefusal,
    TargetRegistration, TaskId, Timings,
};

const SESSION: u64 = 7;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// The point in time `value` milliseconds after the start of the clock.
fn at(value: u64) -> Timestamp {
    Timestamp::from_start(ms(value))
}

fn registration(life: u32) -> TargetRegistration {
    TargetRegistration {
        instance: format!("life-{life}"),
        service: "service".into(),
        address: "127.0.0.1:1".into(),
        capacity: Resources {
            cpu_milli: 4_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        labels: Vec::new(),
        is_draining: false,
        clock: Some(50_000),
        sequence: 1,
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: "job".into(),
        repetition: 0,
        step: 0,
        index,
    }
}

fn assign(index: u32, valid_until: Timestamp) -> DispatcherMessage {
    DispatcherMessage::Assign(Assignment {
        task: task(index),
        run: 5,
        spec: "spec".into(),
        demand: Resources {
            cpu_milli: 2_000,
            memory_mb: 10,
            accelerators: 0,
        },
        priority: 0,
        wait_ms: 60,
        estimate_ms: 900,
        valid_until,
    })
}

fn list(clock: u64, running: &[u32], ended: &[(u64, u32, EndCause)]) -> HoldAnswer {
    HoldAnswer::Listed {
        clock,
        running: running
            .iter()
            .map(|index| HeldRun {
                task: task(*index),
                run: 5,
                progress: None,
            })
            .collect(),
        ended: ended
            .iter()
            .map(|(number, index, cause)| EndedRun {
                number: *number,
                task: task(*index),
                run: 5,
                cause: *cause,
            })
            .collect(),
    }
}

/// A runner with a target that takes work and one session, at 100 ms.
fn ready() -> Runner {
    let mut runner = Runner::new(Timings::default(), 1_000);
    runner.register(registration(1), at(90));
    hold(&mut runner, at(95), list(50_005, &[], &[]));
    runner.open_session(SESSION, at(100));
    runner.take_actions();
    runner
}

fn hold(runner: &mut Runner, now: Timestamp, answer: HoldAnswer) {
    let order = runner.plan_hold(now).unwrap();
    runner.hold_answered(&order, answer, now + ms(1));
}

fn starts(runner: &mut Runner) -> Vec<StartOrder> {
    let actions = runner.take_actions().into_iter();
    actions
        .filter_map(|action| match action {
            RunnerAction::Start(order) => Some(order),
            _ => None,
        })
        .collect()
}

fn ends(actions: &[RunnerAction]) -> Vec<(u32, RunOutcome)> {
    let messages = actions.iter().filter_map(|action| match action {
        RunnerAction::Send(SESSION, RunnerMessage::Ended { task, outcome, .. }) => {
            Some((task.index, *outcome))
        }
        _ => None,
    });
    messages.collect()
}

fn started(runner: &mut Runner, index: u32, now: Timestamp) {
    runner.receive(SESSION, assign(index, now + ms(400)), now);
    let order = starts(runner).remove(0);
    runner.start_answered(&order, StartAnswer::Started { clock: 50_010 }, now);
}

#[test]
fn nothing_is_assigned_to_a_target_before_it_is_known_to_be_clean() {
    let mut runner = Runner::new(Timings::default(), 1_000);
    runner.register(registration(1), at(90));
    let first = runner.plan_hold(at(91)).unwrap();
    assert_eq!(first.deadline, None, "no lease for what nobody vouches for");

    runner.hold_answered(&first, list(50_001, &[3], &[]), at(92));

    assert!(!runner.has_ready_target());
    let stops = runner.take_actions();
    assert!(matches!(&stops[..], [.., RunnerAction::Stop(order)] if order.task == task(3)));
    hold(
        &mut runner,
        at(120),
        list(50_030, &[], &[(1, 3, EndCause::Stopped)]),
    );
    assert!(runner.has_ready_target());
}

#[test]
fn what_comes_late_from_an_earlier_life_of_the_target_changes_nothing() {
    let mut runner = ready();
    runner.register(registration(2), at(110));
    hold(&mut runner, at(112), list(50_005, &[], &[]));
    runner.take_actions();
    started(&mut runner, 1, at(120));

    runner.register(registration(1), at(130));

    assert_eq!(ends(&runner.take_actions()), []);
    assert_eq!(runner.plan_hold(at(131)).unwrap().instance, "life-2");
}

#[test]
fn a_new_life_of_the_target_ends_all_runs_of_the_last() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));

    runner.register(registration(2), at(120));

    assert_eq!(ends(&runner.take_actions()), [(1, RunOutcome::Lost)]);
}

#[test]
fn runs_wait_for_room_and_are_given_back_when_none_comes() {
    let mut runner = ready();
    for index in 0..3 {
        runner.receive(SESSION, assign(index, at(600)), at(110));
    }
    assert_eq!(starts(&mut runner).len(), 2, "two fit");

    runner.tick(at(171));

    assert_eq!(
        ends(&runner.take_actions()),
        [(2, RunOutcome::NotStarted(Refusal::NoRoom))]
    );
}

#[test]
fn an_assignment_after_the_end_of_its_session_is_refused() {
    let mut runner = ready();

    runner.receive(SESSION, assign(1, at(150)), at(151));

    let expected = [(1, RunOutcome::NotStarted(Refusal::Expired))];
    assert_eq!(ends(&runner.take_actions()), expected);
}

#[test]
fn a_session_that_is_not_echoed_ends_and_its_runs_are_stopped() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    runner.receive(SESSION, DispatcherMessage::Echo { clock: at(200) }, at(210));
    runner.tick(at(699));
    let before = runner.take_actions();
    assert!(
        !before
            .iter()
            .any(|action| matches!(action, RunnerAction::Stop(_)))
    );

    runner.tick(at(701));

    let actions = runner.take_actions();
    assert!(actions.contains(&RunnerAction::CloseSession(SESSION)));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, RunnerAction::Stop(_)))
    );
}

#[test]
fn an_echo_from_the_future_does_not_prolong_a_session_beyond_its_span() {
    let mut runner = ready();
    runner.receive(
        SESSION,
        DispatcherMessage::Echo { clock: at(900_000) },
        at(110),
    );

    runner.tick(at(612));

    assert!(
        runner
            .take_actions()
            .contains(&RunnerAction::CloseSession(SESSION))
    );
}

#[test]
fn a_start_without_an_answer_is_repeated_as_it_was() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = starts(&mut runner).remove(0);
    runner.start_answered(&first, StartAnswer::Unanswered, at(140));

    let second = starts(&mut runner).remove(0);

    assert_eq!((second.run, second.deadline), (first.run, first.deadline));
    assert_eq!(second.attempt, 2);
}

#[test]
fn a_start_that_was_sent_twice_and_refused_is_not_given_back_before_it_is_surely_void() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = starts(&mut runner).remove(0);
    runner.start_answered(&first, StartAnswer::Unanswered, at(140));
    let second = starts(&mut runner).remove(0);
    let refused = StartAnswer::Refused(StartRefusal::NoRoom, Some(50_050));

    runner.start_answered(&second, refused, at(145));

    assert_eq!(
        ends(&runner.take_actions()),
        [],
        "the first may still be carried out"
    );
    hold(&mut runner, at(150), list(first.deadline, &[], &[]));
    assert_eq!(ends(&runner.take_actions()), []);
    hold(&mut runner, at(160), list(first.deadline + 1, &[], &[]));
    let expected = [(1, RunOutcome::NotStarted(Refusal::NoRoom))];
    assert_eq!(ends(&runner.take_actions()), expected);
}

#[test]
fn a_refused_token_is_raised_and_the_start_sent_again() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(600)), at(110));
    let first = starts(&mut runner).remove(0);

    let fenced = StartAnswer::Refused(StartRefusal::Fenced, Some(50_020));
    runner.start_answered(&first, fenced, at(112));

    let second = starts(&mut runner).remove(0);
    assert!(second.token > first.token);
    assert!(runner.plan_hold(at(113)).unwrap().token >= second.token);
}

#[test]
fn ends_are_reported_once_and_noted() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    hold(
        &mut runner,
        at(130),
        list(50_050, &[], &[(1, 1, EndCause::Done)]),
    );
    assert_eq!(ends(&runner.take_actions()), [(1, RunOutcome::Done)]);

    hold(
        &mut runner,
        at(140),
        list(50_060, &[], &[(1, 1, EndCause::Done)]),
    );

    assert_eq!(ends(&runner.take_actions()), []);
    assert_eq!(runner.plan_hold(at(150)).unwrap().last_noted, 1);
}

#[test]
fn a_run_that_is_no_longer_listed_is_lost() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));

    hold(&mut runner, at(130), list(50_050, &[], &[]));

    assert_eq!(ends(&runner.take_actions()), [(1, RunOutcome::Lost)]);
}

#[test]
fn a_silent_target_gets_no_work_and_its_runs_are_lost_only_with_the_lease() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    let echo = |runner: &mut Runner, now_ms| {
        let now = at(now_ms);
        runner.receive(SESSION, DispatcherMessage::Echo { clock: now }, now);
        runner.tick(now);
    };
    for at in (150..700).step_by(50) {
        echo(&mut runner, at);
    }
    assert!(!runner.has_ready_target());
    assert_eq!(
        ends(&runner.take_actions()),
        [],
        "the lease may still stand"
    );

    for at in (700..900).step_by(50) {
        echo(&mut runner, at);
    }

    assert_eq!(ends(&runner.take_actions()), [(1, RunOutcome::Lost)]);
}

#[test]
fn a_leaving_runner_takes_nothing_and_ends_what_it_has() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
    runner.leave(at(120));
    runner.receive(SESSION, assign(2, at(600)), at(121));
    let expected = [(2, RunOutcome::NotStarted(Refusal::Draining))];
    assert_eq!(ends(&runner.take_actions()), expected);

    hold(
        &mut runner,
        at(130),
        list(50_050, &[], &[(1, 1, EndCause::Done)]),
    );

    assert_eq!(ends(&runner.take_actions()), [(1, RunOutcome::Done)]);
    assert_eq!(runner.held(), 0);
}

#[test]
fn a_start_that_never_left_is_given_back_at_once() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(500)), at(110));
    let order = starts(&mut runner).remove(0);

    let answer = StartAnswer::Refused(StartRefusal::Unreachable, None);
    runner.start_answered(&order, answer, at(111));

    let refused = RunOutcome::NotStarted(Refusal::Unanswered);
    assert_eq!(ends(&runner.take_actions()), [(1, refused)]);
    assert_eq!(runner.held(), 0);
}

#[test]
fn a_start_that_may_have_arrived_before_is_not_given_back_when_a_later_one_never_left() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(500)), at(110));
    let first = starts(&mut runner).remove(0);
    runner.start_answered(&first, StartAnswer::Unanswered, at(130));
    let second = starts(&mut runner).remove(0);

    let answer = StartAnswer::Refused(StartRefusal::Unreachable, None);
    runner.start_answered(&second, answer, at(131));

    assert_eq!(ends(&runner.take_actions()), []);
    assert_eq!(runner.held(), 1, "the first may still be carried out");
}

#[test]
fn a_target_that_misses_three_holds_gets_no_work_and_no_further_starts() {
    let mut runner = ready();
    runner.receive(SESSION, assign(1, at(500)), at(110));
    starts(&mut runner);
    for now in [150, 200, 250] {
        let order = runner.plan_hold(at(now - 40)).unwrap();
        runner.hold_answered(&order, HoldAnswer::Unanswered, at(now));
    }
    assert!(runner.has_ready_target());

    runner.tick(at(325));

    assert!(!runner.has_ready_target());
    starts(&mut runner);
    runner.tick(at(360));
    assert!(starts(&mut runner).is_empty());
}

#[test]
fn a_new_session_is_told_of_the_target_only_when_nothing_of_the_last_runs() {
    let mut runner = ready();
    started(&mut runner, 1, at(110));
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

    hold(
        &mut runner,
        at(140),
        list(50_050, &[], &[(1, 1, EndCause::Stopped)]),
    );

    assert_eq!(offers(&mut runner), 1);
}

#[test]
fn every_session_is_told_of_changed_room_once() {
    let mut runner = ready();
    runner.open_session(8, at(100));
    runner.tick(at(101));
    runner.take_actions();
    started(&mut runner, 1, at(110));
    let told = |runner: &mut Runner| -> Vec<u64> {
        let actions = runner.take_actions().into_iter();
        let told = actions.filter_map(|action| match action {
            RunnerAction::Send(session, RunnerMessage::Room(_)) => Some(session),
            _ => None,
        });
        told.collect()
    };

    runner.tick(at(120));

    assert_eq!(told(&mut runner), [SESSION, 8]);
    runner.tick(at(130));
    assert_eq!(told(&mut runner), []);
}
